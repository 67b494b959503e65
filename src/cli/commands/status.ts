/** `pomelostall status`: show one router's state and its view of the other routers and the backend servers. */
import Table from "cli-table3";
import { Command } from "commander";
import type { RouterStatus } from "../../process/operator/status.js";
import type { CommandContext } from "../context.js";
import { OperatorClient } from "../operator-client.js";

export function createStatusCommand(context: CommandContext): Command {
    return new Command("status")
        .description("Show a router, the other routers it knows, and the backend servers it uses")
        .option("--router <url>", "operator interface of a router")
        .option("--json", "print the status as JSON")
        .addHelpText("after", "\nExample:\n  pomelostall status --router http://10.0.0.5:8081")
        .action(async (options: { router?: string; json?: boolean; }) => {
            const status = await OperatorClient.fromContext(context, options.router).get<RouterStatus>(
                "/operator/status",
            );
            context.output.write(
                options.json === true ? `${JSON.stringify(status)}\n` : formatStatus(status, context.color),
            );
        });
}

function formatStatus(status: RouterStatus, color: boolean): string {
    const { router } = status;
    return [
        `router ${router.id} in ${router.region}/${router.availabilityZone}: ${router.state}`,
        `configuration version ${router.configurationVersion}, ${router.requestsInFlight} requests in flight, platform ${
            status.platformReachable ? "reachable" : "unreachable"
        }`,
        "",
        "routers",
        renderTable(
            ["id", "zone", "state", "version"],
            status.routers.map(each => [each.id, each.availabilityZone, each.state, String(each.configurationVersion)]),
            color,
        ),
        "",
        "backend servers",
        renderTable(
            ["id", "zone", "class", "state", "layers", "in flight"],
            status.backendServers.map(each => [
                each.id,
                each.availabilityZone,
                each.className,
                each.state,
                each.holdings.join(", "),
                String(each.inFlight),
            ]),
            color,
        ),
        "",
    ].join("\n");
}

function renderTable(head: string[], rows: string[][], color: boolean): string {
    const style = color ? { head: ["cyan"] } : { head: [], border: [] };
    const rendered = new Table({ head, style });
    rendered.push(...rows);
    return rendered.toString();
}
