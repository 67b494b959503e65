/**
 * Cost and convergence time of the membership protocol. Bytes, CPU time and heap are measured for nodes in this process
 * over loopback connections, in plain text and with mutual TLS. Each byte that a server's connection carries counts
 * twice, as one node sends it and another receives it. The CPU time of the process, with client, server and kernel
 * time, is divided evenly among the nodes. The time until all routers have detected a failure and the calls to the
 * platform are measured in process on a fake clock, with up to 360 nodes.
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
import { aliveCount, ConnectedNode, CountingVmList, reportDemand, SimulatedFleet } from "./membership-nodes.js";

const convergenceSizes = [15, 30, 60, 120] as const;
const targetSize = 360;
/**
 * Over real connections, more than 15 nodes in one process delay each other. So only this size is measured, and no
 * growth with the size.
 */
const connectedSizes = [15] as const;
const tlsSize = 15;
const bytesPerSecondBound = atMost(2_048);
const cpuPercentBound = atMost(1.1);
const heapMegabytesBound = atMost(128);
const platformReadsPerSecondBound = atMost(1_000);
const platformWritesPerSecondBound = atMost(200);

const settleMilliseconds = 2_000;
const windowMilliseconds = 3_000;
const eventWindowMilliseconds = 1_000;
/** Configuration changes (1,900 per day), router state changes (300) and backend server notices (600), per second. */
const eventsPerSecond = 2_800 / 86_400;
const deathsPerSize = 3;
const platformWindowMilliseconds = 30_000;
const bytesPerMegabyte = 1_000_000;

interface Cost {
    /** Sent and received by one node, including the bytes for events. */
    readonly bytesPerSecond: number;
    /** Of one core. */
    readonly cpuPercent: number;
    readonly heapMegabytes: number;
    /** Bytes sent and received by one node for one event. */
    readonly eventBytes: number;
}

/** Milliseconds until all routers have detected a failed one, and calls to the platform's list of VMs per second. */
interface Convergence {
    readonly medianMilliseconds: number;
    readonly longestMilliseconds: number;
    readonly platformReadsPerSecond: number;
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

function exposeGarbageCollector(): () => void {
    setFlagsFromString("--expose_gc");
    return runInNewContext("gc") as () => void;
}

function usedMegabytes(collectGarbage: () => void): number {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return (heapUsed + external) / bytesPerMegabyte;
}

function totalBytes(nodes: readonly ConnectedNode[]): number {
    return nodes.reduce((total, node) => total + node.serverBytes, 0);
}

/** Mean number of bytes sent and received by one node within the given time. */
async function bytesPerNodeOver(nodes: readonly ConnectedNode[], milliseconds: number): Promise<number> {
    const before = totalBytes(nodes);
    await delay(milliseconds);
    return (2 * (totalBytes(nodes) - before)) / nodes.length;
}

async function measureCost(size: number, collectGarbage: () => void, certificates?: CertificateSource): Promise<Cost> {
    const heapBefore = usedMegabytes(collectGarbage);
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
    const heapMegabytes = (usedMegabytes(collectGarbage) - heapBefore) / size;
    const cpuBefore = process.cpuUsage();
    const steady = await bytesPerNodeOver(nodes, windowMilliseconds);
    const { user, system } = process.cpuUsage(cpuBefore);
    const steadyPerSecond = (steady * 1000) / windowMilliseconds;
    nodes[0]!.versions.announce(1);
    const withEvent = await bytesPerNodeOver(nodes, eventWindowMilliseconds);
    const eventBytes = Math.max(0, withEvent - (steadyPerSecond * eventWindowMilliseconds) / 1000);
    const convergedNodes = nodes.filter(node => aliveCount(node.membership) === size).length;
    await Promise.all(nodes.map(node => node.kill()));
    return {
        // If not every node sees the whole fleet, the traffic isn't representative.
        bytesPerSecond: convergedNodes === size ? steadyPerSecond + eventBytes * eventsPerSecond : Number.NaN,
        cpuPercent: ((user + system) / 1000 / windowMilliseconds / size) * 100,
        heapMegabytes,
        eventBytes,
    };
}

/** Measures on a fake clock the time until all routers have detected a failed one, and the calls to the platform. */
async function measureConvergence(size: number): Promise<Convergence> {
    const clock = FakeTimers.install({
        toFake: ["setTimeout", "clearTimeout", "performance"],
        shouldClearNativeTimers: true,
    });
    const fleet = new SimulatedFleet(size + deathsPerSize);
    const random = new SeededRandom(size);
    await fleet.start(milliseconds => clock.tickAsync(milliseconds));
    await clock.tickAsync(10_000);
    const times: number[] = [];
    for (let death = 0; death < deathsPerSize; death++) {
        await clock.tickAsync(Math.floor(random.next() * 3_000));
        fleet.kill(Math.floor(random.next() * fleet.nodes.length));
        let elapsed = 0;
        while (!fleet.hasConverged && elapsed < 30_000) {
            await clock.tickAsync(50);
            elapsed += 50;
        }
        times.push(elapsed);
    }
    const callsBefore = fleet.vmList.callCount;
    await clock.tickAsync(platformWindowMilliseconds);
    const platformReadsPerSecond = ((fleet.vmList.callCount - callsBefore) * 1000) / platformWindowMilliseconds;
    fleet.stop();
    clock.uninstall();
    return {
        medianMilliseconds: quantile(times, 0.5),
        longestMilliseconds: Math.max(...times),
        platformReadsPerSecond,
    };
}

function figuresBySize(
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

function convergenceFigures(size: number, convergence: Convergence): Figure[] {
    const bench = "membership";
    return [
        { bench, figure: `all-know-of-death-p50-at-${size}`, value: convergence.medianMilliseconds, unit: "ms" },
        { bench, figure: `all-know-of-death-maximum-at-${size}`, value: convergence.longestMilliseconds, unit: "ms" },
    ];
}

async function measureCosts(): Promise<{ readonly plain: readonly Cost[]; readonly tls: Cost; }> {
    const directory = mkdtempSync(join(tmpdir(), "pomelostall-membership-"));
    try {
        const certificates = await createCertificates(directory);
        const collectGarbage = exposeGarbageCollector();
        const tls = await measureCost(tlsSize, collectGarbage, certificates);
        const plain: Cost[] = [];
        for (const size of connectedSizes) {
            plain.push(await measureCost(size, collectGarbage));
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
        const measuredFigures: Figure[] = [];
        let platformReadsPerSecond = 0;
        for (const size of [...convergenceSizes, targetSize]) {
            const convergence = await measureConvergence(size);
            measuredFigures.push(...convergenceFigures(size, convergence));
            platformReadsPerSecond = convergence.platformReadsPerSecond;
        }
        const bench = "membership";
        return [
            ...figuresBySize(
                "bytes-sent-and-received",
                "B/s",
                bytesPerSecondBound,
                costs.map(cost => cost.bytesPerSecond),
            ),
            ...figuresBySize("processor", "% of a core", cpuPercentBound, costs.map(cost => cost.cpuPercent)),
            ...figuresBySize("heap", "MB", heapMegabytesBound, [Number.NaN]),
            ...figuresBySize("bytes-of-one-news", "B", undefined, costs.map(cost => cost.eventBytes)),
            {
                bench,
                figure: `bytes-over-tls-at-${tlsSize}`,
                value: tls.bytesPerSecond,
                unit: "B/s",
                bound: bytesPerSecondBound,
            },
            {
                bench,
                figure: `processor-over-tls-at-${tlsSize}`,
                value: tls.cpuPercent,
                unit: "% of a core",
                bound: cpuPercentBound,
            },
            ...measuredFigures,
            {
                bench,
                figure: `platform-reads-of-fleet-at-${targetSize}`,
                value: platformReadsPerSecond,
                unit: "calls/s",
                bound: platformReadsPerSecondBound,
            },
            {
                bench,
                figure: `platform-writes-of-fleet-at-${targetSize}`,
                value: 0,
                unit: "calls/s",
                bound: platformWritesPerSecondBound,
            },
        ];
    },
};
