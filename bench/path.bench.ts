/**
 * Overhead of the router compared with direct calls to the stand-in engines, measured in pairs within one run: the
 * added time to first token and between tokens, and the tokens per second that one router process carries. The router,
 * the engines and the callers run in separate processes. Bounds: 1/100 of the 1.6 s target for the first token, 1/20 of
 * the 78 ms target between tokens, and four times one router's share of 950,000 tokens per second over 360 routers.
 */
import { delay } from "../src/common/clock.js";
import { atLeast, atMost, type Benchmark, type Figure, quantile } from "./figures.js";
import { queryChild, startChild, stopChild } from "./path/children.js";
import type { EnginesReady, RouterReady, RouterUsage, ServerAddress } from "./path/messages.js";
import { directSource, readStream, routerSource, type StreamSource, type StreamTimes } from "./path/streams.js";

const engineProcessTotal = 4;
const pairTotal = 40;
const pairTokens = 60;
const backgroundStreams = 24;
const throughputStreams = 160;
const throughputMilliseconds = 12_000;
const warmUpMilliseconds = 3_000;
const streamTokens = 300;
const addedFirstTokenBoundMilliseconds = 16;
const addedGapBoundMilliseconds = 4;
const tokensPerSecondBound = 10_560;

/** Keeps a constant number of streams running until it is stopped, and counts their tokens. */
class StreamLoad {
    tokens = 0;
    private running = true;
    private readonly loops: Promise<void>[];

    constructor(source: StreamSource, total: number) {
        this.loops = Array.from({ length: total }, () => this.loop(source));
    }

    async stop(): Promise<void> {
        this.running = false;
        await Promise.all(this.loops);
    }

    private async loop(source: StreamSource): Promise<void> {
        while (this.running) {
            await readStream(source, streamTokens, count => {
                this.tokens += count;
            });
        }
    }
}

async function measurePairs(router: StreamSource, servers: readonly ServerAddress[]) {
    const throughRouter: StreamTimes[] = [];
    const direct: StreamTimes[] = [];
    const load = new StreamLoad(router, backgroundStreams);
    await delay(warmUpMilliseconds);
    for (let pair = 0; pair < pairTotal; pair++) {
        const server = servers[pair % servers.length]!;
        const [first, second] = await Promise.all([
            readStream(router, pairTokens),
            readStream(directSource(server), pairTokens),
        ]);
        throughRouter.push(first);
        direct.push(second);
    }
    await load.stop();
    return { throughRouter, direct };
}

function pairFigures(throughRouter: readonly StreamTimes[], direct: readonly StreamTimes[]): Figure[] {
    const figures: Figure[] = [];
    for (const [name, fraction] of [["p50", 0.5], ["p95", 0.95]] as const) {
        const bounded = name === "p95";
        const routerFirst = quantile(throughRouter.map(times => times.firstTokenMilliseconds), fraction);
        const directFirst = quantile(direct.map(times => times.firstTokenMilliseconds), fraction);
        const routerGap = quantile(throughRouter.flatMap(times => times.gapMilliseconds), fraction);
        const directGap = quantile(direct.flatMap(times => times.gapMilliseconds), fraction);
        figures.push(
            createFigure(
                `added time to first token ${name}`,
                routerFirst - directFirst,
                "ms",
                bounded ? addedFirstTokenBoundMilliseconds : undefined,
                directFirst,
            ),
            createFigure(
                `added time between tokens ${name}`,
                routerGap - directGap,
                "ms",
                bounded ? addedGapBoundMilliseconds : undefined,
                directGap,
            ),
        );
    }
    return figures;
}

function createFigure(name: string, value: number, unit: string, bound: number | undefined, baseline: number): Figure {
    return {
        bench: "path",
        figure: name,
        value,
        unit,
        bound: bound === undefined ? undefined : atMost(bound),
        baseline,
    };
}

async function measureThroughput(router: StreamSource, queryUsage: () => Promise<RouterUsage>): Promise<Figure[]> {
    const load = new StreamLoad(router, throughputStreams);
    await delay(warmUpMilliseconds);
    const before = await queryUsage();
    const tokensBefore = load.tokens;
    const startedAt = performance.now();
    await delay(throughputMilliseconds);
    const seconds = (performance.now() - startedAt) / 1000;
    const tokens = load.tokens - tokensBefore;
    const after = await queryUsage();
    await load.stop();
    const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
    return [
        {
            bench: "path",
            figure: `tokens a second of one router over ${throughputStreams} streams`,
            value: tokens / seconds,
            unit: "tokens/s",
            bound: atLeast(tokensPerSecondBound),
        },
        {
            bench: "path",
            figure: "tokens for each second of processor time",
            value: tokens / cpuSeconds,
            unit: "tokens/s",
            bound: atLeast(tokensPerSecondBound),
        },
        { bench: "path", figure: "router heap under this load", value: after.heapBytes / 1e6, unit: "MB" },
    ];
}

export const benchmark: Benchmark = {
    name: "path",
    async run() {
        const engines = await Promise.all(
            Array.from(
                { length: engineProcessTotal },
                (_unused, index) =>
                    startChild<EnginesReady>(new URL("./path/engines-process.js", import.meta.url), [String(index)]),
            ),
        );
        const servers = engines.flatMap(engine => engine.ready.servers);
        const routerFile = new URL("./path/router-process.js", import.meta.url);
        const router = await startChild<RouterReady>(routerFile, [JSON.stringify(servers)]);
        const source = routerSource(router.ready.address);
        const { throughRouter, direct } = await measurePairs(source, servers);
        const throughput = await measureThroughput(source, () => queryChild<RouterUsage>(router.child));
        [router, ...engines].forEach(process => stopChild(process.child));
        return [...pairFigures(throughRouter, direct), ...throughput];
    },
};
