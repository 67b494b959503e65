/** `pomelostall stand-in platform | backend-server | service`: run simulated dependencies to test a fleet by hand. */
import { Command, InvalidArgumentError } from "commander";
import { once } from "node:events";
import { request } from "undici";
import { SystemRandom } from "../../common/random.js";
import { readTextFile } from "../../common/read-text-file.js";
import type { Configuration } from "../../domain/configuration.js";
import type { LayerRange } from "../../domain/layers.js";
import type { VmEntry } from "../../domain/platform.js";
import { InvalidCommandError } from "../../errors/index.js";
import { HttpStageNetwork, StandInBackendServer, WeightStore } from "../../stand-ins/backend-server/index.js";
import { PlatformServer, StandInPlatform, standInVmsPath } from "../../stand-ins/platform/index.js";
import { StandInService } from "../../stand-ins/service/index.js";
import { previewConfiguration } from "../../version/sheet/index.js";
import type { CommandContext } from "../context.js";

const millisecondsPerSecond = 1000;
const defaultRegion = "local";
const layersPattern = /^(\d+)-(\d+)$/;

interface VmOptions {
    readonly id: string;
    readonly region: string;
    readonly zone: string;
    readonly port: string;
    readonly platform?: string;
}

interface BackendServerOptions extends VmOptions {
    readonly sheet: string;
    readonly class: string;
    readonly model?: string;
    readonly layers?: LayerRange;
}

export function createStandInCommand(context: CommandContext): Command {
    const command = new Command("stand-in").description(
        "Run a simulated platform, backend server or service for the routers",
    );
    command.command("platform")
        .description("Run a stand-in platform: key-value service and VM list")
        .option("--port <port>", "TCP port; 0 selects a free port", "2379")
        .addHelpText("after", "\nExample:\n  pomelostall stand-in platform --port 2379")
        .action((options: { port: string; }) => runPlatform(context, Number(options.port)));
    addVmOptions(command.command("backend-server"))
        .description("Run a stand-in backend server that holds layers of a model")
        .requiredOption("--sheet <file>", "sheet that defines the class and the model")
        .requiredOption("--class <name>", "backend server class in the sheet")
        .option("--model <name>", "model to hold; without it, the server holds no layers")
        .option("--layers <first-last>", "layers to hold; all by default", parseLayers)
        .addHelpText(
            "after",
            "\nExample:\n  pomelostall stand-in backend-server --id a1 --zone kewdale --sheet examples/haddow.csv "
                + "--class accelerator-small --model grade-writer --layers 0-9 --platform http://127.0.0.1:2379",
        )
        .action((options: BackendServerOptions) => runBackendServer(context, options));
    addVmOptions(command.command("service"))
        .description("Run a stand-in plain service with bookings and stock")
        .requiredOption("--name <name>", "service in the sheet that is simulated")
        .addHelpText(
            "after",
            "\nExample:\n  pomelostall stand-in service --id b1 --zone kewdale --name bookings --platform http://127.0.0.1:2379",
        )
        .action((options: VmOptions & { name: string; }) => runService(context, options));
    return command;
}

function addVmOptions(command: Command): Command {
    return command
        .requiredOption("--id <id>", "name of the VM")
        .requiredOption("--zone <name>", "availability zone")
        .option("--region <name>", "region", defaultRegion)
        .option("--port <port>", "TCP port; 0 selects a free port", "0")
        .option("--platform <url>", "base URL of the stand-in platform to register the VM with");
}

function parseLayers(text: string): LayerRange {
    const match = layersPattern.exec(text);
    if (match === null) {
        throw new InvalidArgumentError("Expected a layer range first-last, such as 0-9.");
    }
    return { first: Number(match[1]), last: Number(match[2]) };
}

async function runPlatform(context: CommandContext, port: number): Promise<void> {
    const server = new PlatformServer(new StandInPlatform(), port);
    await server.start();
    context.output.write(`platform at ${server.address}\n`);
    await waitForStopSignal();
    await server.stop();
}

async function runBackendServer(context: CommandContext, options: BackendServerOptions): Promise<void> {
    const configuration = await readConfiguration(options.sheet);
    const backendServerClass = configuration.backendServerClasses.get(options.class);
    if (backendServerClass === undefined) {
        throw new InvalidCommandError(`The sheet has no backend server class ${options.class}.`);
    }
    const network = new HttpStageNetwork();
    const server = new StandInBackendServer({
        id: options.id,
        port: Number(options.port),
        location: { region: options.region, availabilityZone: options.zone },
        class: backendServerClass,
        ...describeHoldings(configuration, options),
    }, { network, weightStore: new WeightStore(configuration.weightStore.bytesPerSecond), random: new SystemRandom() });
    await server.start();
    context.output.write(`backend server ${options.id} at ${server.address}\n`);
    await registerVm(options, "backend-server", server.address, options.class);
    await waitForStopSignal();
    server.stop();
}

function describeHoldings(configuration: Configuration, options: BackendServerOptions) {
    if (options.model === undefined) {
        return { holdings: [] };
    }
    const model = configuration.models.get(options.model);
    if (model === undefined) {
        throw new InvalidCommandError(`The sheet has no model ${options.model}.`);
    }
    const layers = options.layers ?? { first: 0, last: model.layerTotal - 1 };
    return {
        holdings: [{ model: model.name, modelVersion: model.version, layers, adapters: model.adapters }],
        layerBytes: model.layerBytes,
        activationBytes: model.activationBytes,
        cacheBytesPerTokenLayer: model.cacheBytesPerTokenLayer,
    };
}

async function runService(context: CommandContext, options: VmOptions & { name: string; }): Promise<void> {
    const service = new StandInService({ port: Number(options.port) });
    await service.start();
    context.output.write(`service ${options.name} at ${service.address}\n`);
    await registerVm(options, "service", service.address, options.name);
    await waitForStopSignal();
    service.stop();
}

async function registerVm(
    options: VmOptions,
    kind: VmEntry["kind"],
    address: string,
    className: string,
): Promise<void> {
    if (options.platform === undefined) {
        return;
    }
    const entry: VmEntry = {
        id: options.id,
        kind,
        address,
        region: options.region,
        availabilityZone: options.zone,
        className,
        state: "live",
        // The start time in seconds, so that each restart has a higher incarnation.
        incarnation: Math.floor(Date.now() / millisecondsPerSecond),
    };
    const response = await request(`${options.platform}${standInVmsPath}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ vms: [entry] }),
    });
    await response.body.dump();
}

async function readConfiguration(file: string): Promise<Configuration> {
    return previewConfiguration(await readTextFile(file));
}

function waitForStopSignal(): Promise<unknown> {
    return Promise.race([once(process, "SIGINT"), once(process, "SIGTERM")]);
}
