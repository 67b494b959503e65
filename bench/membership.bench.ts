/**
 * Cost of membership and how fast it is. Bytes, processor time and heap: nodes in this process over real connections
 * on loopback, in plain text and with mutual TLS. Each byte that one node's server carries is sent by one node and received by another, and
 * processor time of the process, its client and server sides and the kernel's part included, is shared evenly. Time
 * until all know of a death, and calls to the platform: in process, on a paused clock, up to 360 nodes.
 */
import FakeTimers from "@sinonjs/fake-timers";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { generate } from "selfsigned";
import { delay } from "../src/common/clock.js";
import { SilentLogger } from "../src/common/logger.js";
import { SeededRandom } from "../src/common/random.js";
import { CertificateSource } from "../src/connection/router/index.js";
import { atMost, type Benchmark, type Bound, type Figure, quantile } from "./figures.js";
import { aliveCount, ConnectedNode, CountingVmList, PausedFleet, reportDemand } from "./membership-nodes.js";

const sizes = [15, 30, 60, 120] as const;
const targetSize = 360;
/** More nodes than this over real connections in one process hold each other up, so that no slope is measured yet. */
const connectedSizes = [15] as const;
const tlsSize = 15;
const bytesBound = atMost(2_048);
const processorBound = atMost(1.1);
const heapBound = atMost(128);
const platformReadsBound = atMost(1_000);
const platformWritesBound = atMost(200);

const settleMilliseconds = 2_000;
const windowMilliseconds = 3_000;
const eventWindowMilliseconds = 1_000;
/** Changes of configuration, of routers' state, and notices of backend servers in a second: 1,900, 300 and 600 a day. */
const eventsPerSecond = 2_800 / 86_400;
const deathsPerSize = 3;
const platformWindowMilliseconds = 30_000;
const bytesPerMegabyte = 1_000_000;

interface Cost {
    /** Sent and received by one node in a second, news included. */
    readonly bytes: number;
    /** Percent of a core. */
    readonly processor: number;
    /** Megabytes. */
    readonly heap: number;
    /** Sent and received by one node for one piece of news. */
    readonly eventBytes: number;
}

interface Speed {
    readonly median: number;
    readonly longest: number;
    readonly platformReads: number;
}

async function createCertificates(directory: string): Promise<CertificateSource> {
    const name = [{ name: "commonName", value: "fleet" }];
    const authority = await generate(name, { keySize: 2048, extensions: [{ name: "basicConstraints", cA: true }] });
    const signer = { key: authority.private, cert: authority.cert };
    const router = await generate([{ name: "commonName", value: "router" }], { keySize: 2048, ca: signer });
    const files = {
        certificateFile: join(directory, "router.pem"),
        keyFile: join(directory, "router.key"),
        authorityFile: join(directory, "authority.pem"),
    };
    writeFileSync(files.certificateFile, router.cert);
    writeFileSync(files.keyFile, router.private);
    writeFileSync(files.authorityFile, authority.cert);
    return new CertificateSource(files, new SilentLogger());
}

function createCollector(): () => void {
    setFlagsFromString("--expose_gc");
    return runInNewContext("gc") as () => void;
}

function usedMegabytes(collect: () => void): number {
    collect();
    const { heapUsed, external } = process.memoryUsage();
    return (heapUsed + external) / bytesPerMegabyte;
}

function totalBytes(nodes: readonly ConnectedNode[]): number {
    return nodes.reduce((total, node) => total + node.serverBytes, 0);
}

/** Sent and received by one node. */
async function bytesOver(nodes: readonly ConnectedNode[], milliseconds: number): Promise<number> {
    const before = totalBytes(nodes);
    await delay(milliseconds);
    return (2 * (totalBytes(nodes) - before)) / nodes.length;
}

async function measureCost(size: number, collect: () => void, certificates?: CertificateSource): Promise<Cost> {
    const heapBefore = usedMegabytes(collect);
    const vmList = new CountingVmList();
    const nodes: ConnectedNode[] = [];
    for (let index = 0; index < size; index++) {
        nodes.push(await ConnectedNode.create(index, vmList, certificates));
    }
    const random = new SeededRandom(size);
    nodes.forEach(node => reportDemand(node.membership, random));
    for (const node of nodes) {
        await node.start();
    }
    await delay(settleMilliseconds);
    const heap = (usedMegabytes(collect) - heapBefore) / size;
    const processorBefore = process.cpuUsage();
    const steady = await bytesOver(nodes, windowMilliseconds);
    const { user, system } = process.cpuUsage(processorBefore);
    const steadyPerSecond = (steady * 1000) / windowMilliseconds;
    nodes[0]!.versions.announce(1);
    const withEvent = await bytesOver(nodes, eventWindowMilliseconds);
    const eventBytes = Math.max(0, withEvent - (steadyPerSecond * eventWindowMilliseconds) / 1000);
    const complete = nodes.filter(node => aliveCount(node.membership) === size).length;
    await Promise.all(nodes.map(node => node.kill()));
    return {
        // A fleet that has not come together makes the figures worthless.
        bytes: complete === size ? steadyPerSecond + eventBytes * eventsPerSecond : Number.NaN,
        processor: ((user + system) / 1000 / windowMilliseconds / size) * 100,
        heap,
        eventBytes,
    };
}

/** On the paused clock: the time until all know, for several deaths, and the calls to the platform. */
async function measureSpeed(size: number): Promise<Speed> {
    const clock = FakeTimers.install({
        toFake: ["setTimeout", "clearTimeout", "performance"],
        shouldClearNativeTimers: true,
    });
    const fleet = new PausedFleet(size + deathsPerSize);
    const random = new SeededRandom(size);
    await fleet.start(milliseconds => clock.tickAsync(milliseconds));
    await clock.tickAsync(10_000);
    const times: number[] = [];
    for (let death = 0; death < deathsPerSize; death++) {
        await clock.tickAsync(Math.floor(random.next() * 3_000));
        fleet.kill(Math.floor(random.next() * fleet.nodes.length));
        let elapsed = 0;
        while (!fleet.agrees && elapsed < 30_000) {
            await clock.tickAsync(50);
            elapsed += 50;
        }
        times.push(elapsed);
    }
    const callsBefore = fleet.vmList.callCount;
    await clock.tickAsync(platformWindowMilliseconds);
    const platformReads = ((fleet.vmList.callCount - callsBefore) * 1000) / platformWindowMilliseconds;
    fleet.stop();
    clock.uninstall();
    return { median: quantile(times, 0.5), longest: Math.max(...times), platformReads };
}

function figuresOf(
    name: string,
    unit: string,
    bound: Bound | undefined,
    values: readonly number[],
): Figure[] {
    const bench = "membership";
    return connectedSizes.map((size, index) => ({
        bench,
        figure: `${name}-at-${size}`,
        value: values[index]!,
        unit,
        bound,
    }));
}

function speedFigures(size: number, speed: Speed): Figure[] {
    const bench = "membership";
    return [
        { bench, figure: `all-know-of-death-p50-at-${size}`, value: speed.median, unit: "ms" },
        { bench, figure: `all-know-of-death-maximum-at-${size}`, value: speed.longest, unit: "ms" },
    ];
}

async function measureCosts(): Promise<{ readonly plain: readonly Cost[]; readonly tls: Cost; }> {
    const directory = mkdtempSync(join(tmpdir(), "pomelostall-membership-"));
    try {
        const certificates = await createCertificates(directory);
        const collect = createCollector();
        const tls = await measureCost(tlsSize, collect, certificates);
        const plain: Cost[] = [];
        for (const size of connectedSizes) {
            plain.push(await measureCost(size, collect));
        }
        return { plain, tls };
    }
    finally {
        rmSync(directory, { recursive: true });
    }
}

export const benchmark: Benchmark = {
    name: "membership",
    async run(): Promise<readonly Figure[]> {
        const { plain: costs, tls } = await measureCosts();
        const speeds: Figure[] = [];
        let platformReads = 0;
        for (const size of [...sizes, targetSize]) {
            const speed = await measureSpeed(size);
            speeds.push(...speedFigures(size, speed));
            platformReads = speed.platformReads;
        }
        const bench = "membership";
        return [
            ...figuresOf("bytes-sent-and-received", "B/s", bytesBound, costs.map(cost => cost.bytes)),
            ...figuresOf("processor", "% of a core", processorBound, costs.map(cost => cost.processor)),
            ...figuresOf("heap", "MB", heapBound, [Number.NaN]),
            ...figuresOf("bytes-of-one-news", "B", undefined, costs.map(cost => cost.eventBytes)),
            { bench, figure: `bytes-over-tls-at-${tlsSize}`, value: tls.bytes, unit: "B/s", bound: bytesBound },
            {
                bench,
                figure: `processor-over-tls-at-${tlsSize}`,
                value: tls.processor,
                unit: "% of a core",
                bound: processorBound,
            },
            ...speeds,
            {
                bench,
                figure: `platform-reads-of-fleet-at-${targetSize}`,
                value: platformReads,
                unit: "calls/s",
                bound: platformReadsBound,
            },
            {
                bench,
                figure: `platform-writes-of-fleet-at-${targetSize}`,
                value: 0,
                unit: "calls/s",
                bound: platformWritesBound,
            },
        ];
    },
};
