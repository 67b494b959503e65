/**
 * Start of the deployed bundle: the CPU time until it listens, and its resident memory when idle. A restarting router
 * has less than half a core for this CPU time, and memory is billed on the users' platform. Bounds from issue 10:
 * 0.35 s of CPU time, 70 MB. The baseline is a Node process without any application code.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { delay } from "../src/common/clock.js";
import { atMost, type Benchmark, type Figure, quantile } from "./figures.js";

const cpuSecondsBound = 0.35;
const idleMegabytesBound = 70;
const runTotal = 7;
const callerPort = 18_327;
const idleMilliseconds = 1_500;
const listenTimeoutMilliseconds = 10_000;
const pollMilliseconds = 5;
/** Unit of the CPU times in /proc/PID/stat on Linux. */
const ticksPerSecond = 100;
const kilobytesPerMegabyte = 1_024;

interface ProcessFigures {
    readonly cpuSeconds: number;
    readonly idleMegabytes: number;
}

/**
 * Renders the settings template as the platform does, with loopback addresses. Nothing listens at the address of the
 * key-value store.
 */
async function writeSettings(directory: string): Promise<string> {
    const template = await readFile(new URL("../../deploy/router-settings.jsonc", import.meta.url), "utf8");
    const address = (offset: number) => `"127.0.0.1:${callerPort + offset}"`;
    const values: Readonly<Record<string, string>> = {
        "listen.front|json": address(0),
        "listen.ready_addr|json": address(1),
        "listen.control|json": address(2),
        "platform.address|json": address(4),
        "seeds|json": "[]",
        "ip": "127.0.0.1",
        "port_range.0": String(callerPort + 3),
        "node_name|json": '"edge"',
        "zone|json": '"zone"',
        "region|json": '"region"',
    };
    const text = template.replaceAll(/\{\{([^}]+)\}\}/g, (_match, name: string) => values[name] ?? "1000");
    const file = join(directory, "settings.jsonc");
    await writeFile(file, text);
    return file;
}

async function measureRouter(settingsFile: string): Promise<ProcessFigures> {
    const bundle = new URL("../../target/router.mjs", import.meta.url).pathname;
    const child = spawn(process.execPath, ["--max-semi-space-size=1", "--max-old-space-size=160", bundle], {
        env: { ...process.env, POMELOSTALL_SETTINGS: settingsFile },
        stdio: ["ignore", "ignore", "inherit"],
    });
    await waitUntilListening(callerPort);
    const cpuSeconds = readCpuSeconds(child);
    await delay(idleMilliseconds);
    const idleMegabytes = readResidentMegabytes(child);
    child.kill("SIGKILL");
    await once(child, "exit");
    return { cpuSeconds, idleMegabytes };
}

async function measureBareNode(): Promise<ProcessFigures> {
    const child = spawn(process.execPath, ["-e", "process.stdout.write('x'); setInterval(() => {}, 1000)"], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    await once(child.stdout, "data");
    const figures = { cpuSeconds: readCpuSeconds(child), idleMegabytes: readResidentMegabytes(child) };
    child.kill("SIGKILL");
    await once(child, "exit");
    return figures;
}

async function waitUntilListening(port: number): Promise<void> {
    const end = performance.now() + listenTimeoutMilliseconds;
    while (performance.now() < end && !await acceptsConnections(port)) {
        await delay(pollMilliseconds);
    }
}

function acceptsConnections(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        const settle = (result: boolean) => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => settle(true));
        socket.once("error", () => settle(false));
    });
}

function readCpuSeconds({ pid }: ChildProcess): number {
    const afterName = readFileSync(`/proc/${pid}/stat`, "latin1").split(") ")[1] ?? "";
    const fields = afterName.split(" ");
    // Fields 14 (utime) and 15 (stime) of the line, in clock ticks.
    return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function readResidentMegabytes({ pid }: ChildProcess): number {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "latin1"));
    return Number(match?.[1] ?? Number.NaN) / kilobytesPerMegabyte;
}

export const benchmark: Benchmark = {
    name: "startup",
    async run(): Promise<readonly Figure[]> {
        const directory = await mkdtemp(join(tmpdir(), "pomelostall-"));
        const settings = await writeSettings(directory);
        const router: ProcessFigures[] = [];
        const bareNode: ProcessFigures[] = [];
        for (let run = 0; run < runTotal; run++) {
            router.push(await measureRouter(settings));
            bareNode.push(await measureBareNode());
        }
        await rm(directory, { recursive: true });
        const median = (all: readonly ProcessFigures[], pick: (figures: ProcessFigures) => number) =>
            quantile(all.map(pick), 0.5);
        return [{
            bench: "startup",
            figure: "processor time until the deployed program listens",
            value: median(router, ({ cpuSeconds }) => cpuSeconds),
            unit: "s",
            bound: atMost(cpuSecondsBound),
            baseline: median(bareNode, ({ cpuSeconds }) => cpuSeconds),
        }, {
            bench: "startup",
            figure: "resident when idle",
            value: median(router, ({ idleMegabytes }) => idleMegabytes),
            unit: "MB",
            bound: atMost(idleMegabytesBound),
            baseline: median(bareNode, ({ idleMegabytes }) => idleMegabytes),
        }];
    },
};
