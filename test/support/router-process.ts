/** The deployed program as a process of its own, on loopback. */
import { build } from "esbuild";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { SocketAddress } from "../../src/domain/gateway/server-entry.js";
import type { GatewaySettings } from "../../src/process/gateway/settings.js";

/** Below the range of outgoing connections; each worker of the test runner has ports of its own. */
const firstPort = 21_000;
const portsPerWorker = 100;
const portsPerRouter = 4;
let nextPort = firstPort + portsPerWorker * Number(process.env["JEST_WORKER_ID"] ?? 1);

/** The program's bundle in a temporary folder, and the processes that run it. */
export class RouterProgram {
    private readonly folder = mkdtempSync(join(tmpdir(), "router-"));
    private readonly routers: RouterProcess[] = [];

    async build(): Promise<void> {
        await build({
            entryPoints: ["platform/main.ts"],
            outfile: this.file,
            bundle: true,
            platform: "node",
            target: "node20",
            format: "esm",
            mainFields: ["module", "main"],
            logLevel: "warning",
        });
    }

    addRouter(
        name: string,
        store: SocketAddress,
        bounds: Partial<GatewaySettings["bounds"]>,
        machine: Partial<GatewaySettings["machine"]> = {},
    ): RouterProcess {
        const [callers, readiness, peers, metrics] = Array.from(
            { length: portsPerRouter },
            () => `127.0.0.1:${nextPort++}`,
        );
        const settings = {
            router: { name, availabilityZone: "north", region: "land" },
            listen: { callers, readiness, peers, metrics },
            contacts: [],
            store: { address: `${store.host}:${store.port}`, minimumLeaseMilliseconds: 1_000 },
            machine: { maximumDescriptors: 1_000, memoryMegabytes: 200, ...machine },
            bounds: {
                drainMilliseconds: 400,
                shutdownGraceSeconds: 2,
                configurationApplyMilliseconds: 2_000,
                retryRatio: 0.2,
                retryWindowSeconds: 10,
                retryExtra: 100,
                stallMilliseconds: 3_000,
                ...bounds,
            },
        };
        const settingsFile = join(this.folder, `${name}.jsonc`);
        writeFileSync(settingsFile, JSON.stringify(settings));
        const router = new RouterProcess(this.file, settingsFile, callers!, readiness!);
        this.routers.push(router);
        return router;
    }

    async stop(): Promise<void> {
        await Promise.all(this.routers.map(router => router.kill()));
        rmSync(this.folder, { recursive: true });
    }

    private get file(): string {
        return join(this.folder, "router.mjs");
    }
}

export class RouterProcess {
    output = "";
    /** How often the process has been started. */
    starts = 0;
    private child: ChildProcess | undefined;

    constructor(
        private readonly program: string,
        private readonly settingsFile: string,
        readonly callers: string,
        private readonly readiness: string,
    ) {}

    start(): void {
        this.starts++;
        this.child = spawn(process.execPath, [...deployedRuntimeOptions(), this.program], {
            env: { ...process.env, NODE_OPTIONS: "", POMELOSTALL_SETTINGS: this.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        for (const stream of [this.child.stdout!, this.child.stderr!]) {
            stream.on("data", (chunk: Buffer) => {
                this.output = (this.output + chunk.toString()).slice(-1_000_000);
            });
        }
    }

    /** Sends the signal, which does not end the process at once. */
    signal(signal: "SIGSTOP" | "SIGCONT" | "SIGTERM" | "SIGINT"): void {
        this.child!.kill(signal);
    }

    /** Ends the process at once, and resolves when it has ended. */
    async kill(): Promise<void> {
        const child = this.child;
        if (child === undefined || !this.isRunning) {
            return;
        }
        const ended = new Promise(resolve => child.once("exit", resolve));
        child.kill("SIGKILL");
        await ended;
    }

    get isRunning(): boolean {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Largest resident memory since the start, in MB of 1,024 x 1,024 bytes; 0 if the process has ended. */
    get peakMegabytes(): number {
        return this.isRunning
            ? Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${this.child!.pid}/status`, "utf8"))?.[1]) / 1_024
            : 0;
    }

    get openDescriptors(): number {
        return this.isRunning ? readdirSync(`/proc/${this.child!.pid}/fd`).length : 0;
    }

    async isReady(): Promise<boolean> {
        return await sendTo(this.readiness, "GET", "/ready", {}) === 200;
    }
}

/** Options of the runtime that the deploy file states. */
function deployedRuntimeOptions(): string[] {
    const run = /^run = "node (.*) target/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    return run!.split(" ");
}

/** Resolves to the status; 0 if there was no response. */
export function sendTo(
    address: string,
    method: string,
    path: string,
    headers: Record<string, string>,
): Promise<number> {
    return new Promise(resolve => {
        const [host, port] = address.split(":");
        const sent = request({ host, port, method, path, headers, agent: false }, response => {
            response.on("error", () => resolve(0));
            response.on("end", () => resolve(response.statusCode!));
            response.resume();
        });
        sent.on("error", () => resolve(0));
        sent.end();
    });
}
