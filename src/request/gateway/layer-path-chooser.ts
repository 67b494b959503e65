/** Chooses the layer path of a streaming request by the registry, the fleet's load and recent request failures. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { isWithinModel, layerCount } from "../../domain/layers.js";
import type { LoadEstimate } from "../../process/gateway/fleet-load.js";
import {
    layersThatFit,
    preferredMemoryReserve,
    tokensThatFit,
} from "../../process/gateway/layer-placement/layer-capacity.js";
import { LayerCoverage } from "../../process/gateway/layer-placement/layer-coverage.js";
import type { LayerHolder, StandbyPolicy } from "../../process/gateway/layer-placement/standby-servers.js";
import type { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import type { ServerFailures } from "../../process/gateway/server-failures/types.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import { type SlowdownEstimate, slowFactor } from "../../process/gateway/server-slowdowns.js";
import type {
    LayerPath,
    LayerPathFinder,
    LayerPathPart,
    PathServer,
    PathSpan,
    RequestSize,
} from "./layer-path-finder.js";
import { expectReloadMilliseconds, expectRoomMilliseconds } from "./retry-advice.js";

export interface LayerPathChooserOptions {
    /** Availability zone of this router. */
    readonly homeZone: string;
    /** How long a leaving server may be used, if there is no other, after this router learnt that it leaves. */
    readonly leavingUseMilliseconds: number;
    /** What is known of slow engines; all count as nominal unless given. */
    readonly slowdowns?: SlowdownEstimate;
    /** What is known of engines that fail their requests; none is kept out unless given. */
    readonly serverFailures?: Pick<ServerFailures, "isKeptOut">;
}

export class LayerPathChooser {
    constructor(
        private readonly registry: ServerRegistry,
        private readonly load: LoadEstimate,
        private readonly exclusions: ServerExclusions,
        private readonly finder: LayerPathFinder,
        private readonly standbyPolicy: StandbyPolicy,
        private readonly options: LayerPathChooserOptions,
    ) {}

    /**
     * Tries the active servers that are not excluded or kept out after recent failures, then all active servers, then also those
     * that have recently begun to leave. Never uses servers that have requested a pause, and those whose IDs `avoided`
     * lists. Returns undefined if no path covers all layers.
     */
    choose(
        service: string,
        engine: EngineProfile,
        size: RequestSize,
        avoided: ReadonlySet<string>,
        /** Whether the request may be sent again if a server fails it; such requests try servers that have failed. */
        mayBeRepeated = false,
    ): LayerPath | undefined {
        const active = this.registry.active(service)
            .filter(server => !avoided.has(server.id) && !this.exclusions.isPaused(server));
        const notExcluded = active.filter(server => this.isPreferred(server, mayBeRepeated));
        return this.find(notExcluded, engine, size)
            ?? (notExcluded.length < active.length ? this.find(active, engine, size) : undefined)
            ?? this.findIncludingLeaving(service, active, engine, size, avoided);
    }

    /**
     * Replaces the lost servers in the path of a running request. All other parts stay unchanged, so that they keep the
     * request's KV cache, and the cost stays that of the original path. Returns undefined if the first part is
     * lost, or if no other servers hold the layers.
     */
    chooseReplacement(
        service: string,
        engine: EngineProfile,
        size: RequestSize,
        path: LayerPath,
        lost: ReadonlySet<string>,
    ): LayerPath | undefined {
        const currentServerIds = new Set(path.parts.map(({ server }) => server.id));
        const candidates = this.registry.active(service)
            .filter(server =>
                !currentServerIds.has(server.id) && !lost.has(server.id)
                && this.isPreferred(server, false) && !this.exclusions.isPaused(server)
            );
        const parts: LayerPathPart[] = [];
        let precedingZone: string | undefined;
        for (const part of path.parts) {
            if (!lost.has(part.server.id)) {
                parts.push(part);
                precedingZone = part.server.availabilityZone;
                continue;
            }
            const alreadyInPath = new Set(parts.map(({ server }) => server.id));
            const replacement = precedingZone === undefined ? undefined : this.find(
                candidates.filter(({ id }) => !alreadyInPath.has(id)),
                engine,
                size,
                { layers: part.layers, zone: precedingZone, followsPart: true },
            );
            if (replacement === undefined) {
                return undefined;
            }
            parts.push(...replacement.parts);
        }
        return { parts, cost: path.cost };
    }

    /** Time after which a request that was refused is expected to find a path with room. */
    expectedWaitMilliseconds(service: string, engine: EngineProfile, size: RequestSize): number {
        const coverage = new LayerCoverage(engine.layerCount);
        const servers = this.registry.active(service)
            .filter(({ layers }) => isWithinModel(layers, engine.layerCount));
        servers.forEach(({ layers }) => coverage.add(layers));
        const largestGap = Math.max(0, ...coverage.gaps().map(layerCount));
        if (largestGap === 0) {
            return expectRoomMilliseconds(engine, size);
        }
        const layersPerEngine = [...engine.kinds.values()]
            .map(kind => layersThatFit(engine, kind, preferredMemoryReserve));
        return expectReloadMilliseconds(engine, largestGap, Math.max(1, ...layersPerEngine));
    }

    /** Time until every layer has an active server again; 0 if the pauses that servers have requested leave no gap. */
    pauseMilliseconds(service: string, engine: EngineProfile): number {
        const coverage = new LayerCoverage(engine.layerCount);
        const returns = this.registry.active(service)
            .map(server => ({ layers: server.layers, milliseconds: this.exclusions.pauseMilliseconds(server) }))
            .sort((left, right) => left.milliseconds - right.milliseconds);
        for (const { layers, milliseconds } of returns) {
            coverage.add(layers);
            if (coverage.gaps().length === 0) {
                return milliseconds;
            }
        }
        return 0;
    }

    private isPreferred(server: ServerEntry, mayBeRepeated: boolean): boolean {
        return !this.exclusions.isExcluded(server)
            && this.options.serverFailures?.isKeptOut(server, mayBeRepeated) !== true;
    }

    private fullSpan(engine: EngineProfile): PathSpan {
        return {
            layers: { first: 0, last: engine.layerCount - 1 },
            zone: this.options.homeZone,
            followsPart: false,
        };
    }

    private findIncludingLeaving(
        service: string,
        active: readonly ServerEntry[],
        engine: EngineProfile,
        size: RequestSize,
        avoided: ReadonlySet<string>,
    ): LayerPath | undefined {
        const leaving = this.registry
            .recentlyLeaving(service, this.options.leavingUseMilliseconds)
            .filter(server => !avoided.has(server.id) && !this.exclusions.isPaused(server));
        return leaving.length === 0 ? undefined : this.find([...active, ...leaving], engine, size);
    }

    private find(
        entries: readonly ServerEntry[],
        engine: EngineProfile,
        size: RequestSize,
        span?: PathSpan,
    ): LayerPath | undefined {
        const candidates = entries.filter(({ layers }) => isWithinModel(layers, engine.layerCount));
        const holders: LayerHolder[] = [];
        for (const { id, availabilityZone, layers } of candidates) {
            if (layers !== undefined) {
                holders.push({ id, availabilityZone, range: layers });
            }
        }
        const standby = this.standbyPolicy.findStandbyServers(holders, engine.layerCount);
        const servers: PathServer[] = [];
        for (const entry of candidates) {
            const server = this.toPathServer(entry, engine, standby.has(entry.id));
            if (server !== undefined) {
                servers.push(server);
            }
        }
        return this.finder.find(servers, engine, size, span ?? this.fullSpan(engine));
    }

    /** Returns undefined for a server without layers, or of a kind that the engine profile does not list. */
    private toPathServer(entry: ServerEntry, engine: EngineProfile, standby: boolean): PathServer | undefined {
        const kind = engine.kinds.get(entry.kind ?? "");
        if (kind === undefined || entry.layers === undefined) {
            return undefined;
        }
        const slowdown = this.options.slowdowns?.factor(entry.id) ?? 1;
        return {
            entry,
            layers: entry.layers,
            standby,
            stepFactor: kind.stepFactor * slowdown,
            prefillFactor: kind.prefillFactor * slowdown,
            isSlow: slowdown >= slowFactor,
            requests: this.load.requests(entry.id),
            tokens: this.load.tokens(entry.id),
            tokenCapacity: tokensThatFit(engine, kind, layerCount(entry.layers)),
        };
    }
}
