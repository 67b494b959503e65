/**
 * Simulates many routers that send streaming requests to one fleet of model engines. Routers, exclusions and path choice
 * are the real ones; engines are modelled by their memory and step times. Time is advanced by the caller's clock in
 * fixed steps, so that a run with a seeded random source always gives the same result.
 */
import type { Logger } from "../../common/logger.js";
import { randomInteger, type RandomSource } from "../../common/random.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { RunningLoad } from "../../domain/gateway/placement-notice.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { initialPosition } from "../../domain/gateway/store-position.js";
import { ServerRegistry } from "../../process/gateway/server-registry.js";
import { ReadContext } from "../../process/gateway/store-observer.js";
import type { LayerPath, RequestSize } from "../../request/gateway/layer-path-finder.js";
import { fleetService } from "./sample-fleets.js";
import { SimulatedEngine } from "./simulated-engine.js";
import { type RoutingDecisions, SimulatedRouter } from "./simulated-router.js";

export interface EngineFleetSimulationOptions {
    readonly engines: readonly ServerEntry[];
    readonly profile: EngineProfile;
    readonly routers: number;
    /** Age that the other routers' load reaches before the next notice. */
    readonly noticeIntervalMilliseconds: number;
    /** Longest time between two tokens of a stream that is on time. */
    readonly maximumTokenMilliseconds: number;
    readonly random: RandomSource;
    readonly decisions: RoutingDecisions;
    readonly logger: Logger;
    /** Advances the clock that `monotonicNow` reads. */
    advanceClock(milliseconds: number): void;
}

/** Counts since the start, or since the last `resetCounts`. */
export interface FleetCounts {
    readonly requests: number;
    /** Requests that no attempt could place. */
    readonly refused: number;
    /** Attempts that an engine refused for lack of memory. */
    readonly shedAttempts: number;
    /** Requests that ran on a path whose first part was in another zone than their router. */
    readonly leftZone: number;
    /** Completed requests whose tokens were slower than allowed at some time. */
    readonly late: number;
    readonly completed: number;
}

/** Requests per second that arrive at the routers of a zone at a time since the start of the simulation. */
export type ZoneDemand = (zone: string, milliseconds: number) => number;

interface RunningRequest {
    readonly path: LayerPath;
    readonly tokens: number;
    remainingOutputTokens: number;
    late: boolean;
    readonly endLoad: () => void;
}

const stepMilliseconds = 20;
const maximumAttempts = 6;
const hopMilliseconds = 0.2;
const millisecondsPerSecond = 1_000;

export class EngineFleetSimulation {
    readonly engines: ReadonlyMap<string, SimulatedEngine>;
    private readonly registry: ServerRegistry;
    private readonly routers: readonly SimulatedRouter[];
    private readonly zones: readonly string[];
    private readonly running = new Set<RunningRequest>();
    private counts = emptyCounts();
    private sinceNotice = 0;
    private elapsed = 0;
    private readonly owedArrivals = new Map<string, number>();
    private revision = 1;

    constructor(private readonly options: EngineFleetSimulationOptions) {
        const { engines, profile, logger, random } = options;
        this.engines = new Map(engines.map(entry => [entry.id, new SimulatedEngine(entry, profile)]));
        this.registry = new ServerRegistry(0, logger);
        this.registry.replaceAll({
            entries: new Map(engines.map(entry => [entry.id, { entry, position: initialPosition }])),
            position: initialPosition,
            context: ReadContext.continuous,
        });
        const zones = [...new Set(engines.map(({ availabilityZone }) => availabilityZone))];
        this.zones = zones;
        this.routers = Array.from({ length: options.routers }, (_unused, index) =>
            new SimulatedRouter(
                this.registry,
                options.decisions,
                random,
                zones[index % zones.length]!,
                logger,
            ));
    }

    /**
     * Runs the fleet for the given time while requests arrive at routers drawn at random: at a constant rate in the whole
     * fleet, or at the rate that `demand` returns for each zone.
     */
    run(milliseconds: number, demand: number | ZoneDemand): void {
        const end = this.elapsed + milliseconds;
        while (this.elapsed < end) {
            this.advanceRequests();
            if (typeof demand === "number") {
                this.beginRequests("", demand, this.routers);
            }
            else {
                for (const zone of this.zones) {
                    const routers = this.routers.filter(({ homeZone }) => homeZone === zone);
                    this.beginRequests(zone, demand(zone, this.elapsed), routers);
                }
            }
            this.options.advanceClock(stepMilliseconds);
            this.elapsed += stepMilliseconds;
            this.sinceNotice += stepMilliseconds;
            if (this.sinceNotice >= this.options.noticeIntervalMilliseconds) {
                this.sinceNotice = 0;
                this.sendNotices();
            }
        }
    }

    /** Loses the engines: their requests end, and the registry no longer lists them. */
    lose(ids: readonly string[]): void {
        this.revision++;
        for (const id of ids) {
            this.engines.get(id)!.lost = true;
            this.registry.remove(id, { era: initialPosition.era, revision: this.revision });
        }
        const lost = new Set(ids);
        [...this.running]
            .filter(({ path }) => path.parts.some(({ server }) => lost.has(server.id)))
            .forEach(request => this.end(request));
    }

    resetCounts(): void {
        this.counts = emptyCounts();
        this.engines.forEach(engine => {
            engine.arrivals = 0;
        });
    }

    get currentCounts(): FleetCounts {
        return this.counts;
    }

    /** Arrivals at the busiest engine, as a multiple of the mean over all engines that can begin a path. */
    get arrivalPeak(): number {
        const first = [...this.engines.values()].filter(({ entry, lost }) => !lost && entry.layers?.first === 0);
        const total = first.reduce((sum, { arrivals }) => sum + arrivals, 0);
        return Math.max(...first.map(({ arrivals }) => arrivals)) * first.length / Math.max(1, total);
    }

    /** Share of the engines that run requests now. */
    get engineShareInUse(): number {
        const live = [...this.engines.values()].filter(({ lost }) => !lost);
        return live.filter(({ runningRequests }) => runningRequests > 0).length / live.length;
    }

    /** Begins the requests of one step; what is less than a request is owed to the next step of the same group. */
    private beginRequests(group: string, requestsPerSecond: number, routers: readonly SimulatedRouter[]): void {
        let owed = (this.owedArrivals.get(group) ?? 0) + requestsPerSecond * stepMilliseconds / millisecondsPerSecond;
        for (; owed >= 1; owed--) {
            this.beginRequest(routers[randomInteger(this.options.random, routers.length)]!);
        }
        this.owedArrivals.set(group, owed);
    }

    private beginRequest(router: SimulatedRouter): void {
        const { profile } = this.options;
        this.counts.requests++;
        const size = { promptTokens: profile.typicalPromptTokens, outputTokens: profile.typicalOutputTokens };
        const avoided = new Set<string>();
        for (let attempt = 0; attempt < maximumAttempts; attempt++) {
            const path = router.paths.choose(fleetService, profile, size, avoided);
            if (path === undefined) {
                break;
            }
            const atFault = this.tryBegin(router, path, size);
            if (atFault === undefined) {
                return;
            }
            this.counts.shedAttempts++;
            avoided.add(atFault.id);
            router.exclusions.recordRefusal(atFault, "full");
        }
        this.counts.refused++;
    }

    /** Begins the request on the path, or returns an engine without room for it. */
    private tryBegin(router: SimulatedRouter, path: LayerPath, size: RequestSize): ServerEntry | undefined {
        const engines = path.parts.map(({ server }) => this.engines.get(server.id)!);
        engines[0]!.arrivals++;
        const tokens = size.promptTokens + size.outputTokens;
        const full = engines.find(engine => !engine.canAccept(tokens));
        if (full !== undefined) {
            return full.entry;
        }
        engines.forEach(engine => engine.begin(tokens));
        this.counts.leftZone += Number(engines[0]!.entry.availabilityZone !== router.homeZone);
        this.running.add({
            path,
            tokens,
            // Uniform between nothing and twice the typical output, so that ends are spread as in real traffic.
            remainingOutputTokens: 2 * size.outputTokens * this.options.random.next(),
            late: false,
            endLoad: router.load.beginRequest(engines.map(({ entry }) => entry.id), tokens),
        });
        return undefined;
    }

    private advanceRequests(): void {
        for (const request of this.running) {
            const tokenMilliseconds = request.path.parts.reduce(
                (sum, { server, layers }) =>
                    sum + hopMilliseconds + this.engines.get(server.id)!.tokenMilliseconds(layers),
                0,
            );
            request.late ||= tokenMilliseconds > this.options.maximumTokenMilliseconds;
            request.remainingOutputTokens -= stepMilliseconds / tokenMilliseconds;
            if (request.remainingOutputTokens <= 0) {
                this.counts.completed++;
                this.counts.late += Number(request.late);
                this.end(request);
            }
        }
    }

    private end(request: RunningRequest): void {
        this.running.delete(request);
        request.endLoad();
        request.path.parts.forEach(({ server }) => this.engines.get(server.id)!.end(request.tokens));
    }

    private sendNotices(): void {
        const total = new Map<string, RunningLoad>();
        for (const { load } of this.routers) {
            for (const [id, { requests, tokens }] of load.all) {
                const before = total.get(id);
                total.set(id, {
                    requests: (before?.requests ?? 0) + requests,
                    tokens: (before?.tokens ?? 0) + tokens,
                });
            }
        }
        this.routers.forEach(router => router.receiveNotice(total));
    }
}

function emptyCounts() {
    return { requests: 0, refused: 0, shedAttempts: 0, leftZone: 0, late: 0, completed: 0 };
}
