/** Chooses the path of a streaming request from the registry, the fleet's load and what requests have shown. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { layerCount } from "../../domain/layers.js";
import type { LoadEstimate } from "../../process/gateway/fleet-load.js";
import { tokensThatFit } from "../../process/gateway/layer-placement/layer-capacity.js";
import { findStandbyServers } from "../../process/gateway/layer-placement/standby-servers.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { ServerExclusions } from "../../process/gateway/server-suspicions.js";
import type {
    LayerPath,
    LayerPathFinder,
    LayerPathPart,
    PathServer,
    PathSpan,
    RequestSize,
} from "./layer-path-finder.js";

export interface LayerPathChooserOptions {
    readonly homeZone: string;
    /** A server that leaves may be used for this long after this router learnt of it, where nothing else is left. */
    readonly leavingUseMilliseconds: number;
}

export class LayerPathChooser {
    constructor(
        private readonly registry: ServerRegistry,
        private readonly load: LoadEstimate,
        private readonly suspicions: ServerExclusions,
        private readonly finder: LayerPathFinder,
        private readonly options: LayerPathChooserOptions,
    ) {}

    /** Tries sound servers first, then those that requests have shown to fail, then those that are about to leave. */
    choose(
        service: string,
        engine: EngineProfile,
        size: RequestSize,
        avoided: ReadonlySet<string>,
    ): LayerPath | undefined {
        const active = this.registry.active(service).filter(({ id }) => !avoided.has(id));
        const sound = active.filter(({ id }) => !this.suspicions.isExcluded(id));
        return this.find(sound, engine, size)
            ?? (sound.length < active.length ? this.find(active, engine, size) : undefined)
            ?? this.findWithLeaving(service, active, engine, size, avoided);
    }

    /**
     * A path of a running request with other servers in place of the lost ones. All other parts stay as they are, so that
     * they keep the request's KV cache. Undefined if the first part is lost, or nothing else holds the layers.
     */
    chooseReplacement(
        service: string,
        engine: EngineProfile,
        size: RequestSize,
        path: LayerPath,
        lost: ReadonlySet<string>,
    ): LayerPath | undefined {
        const used = new Set(path.parts.map(({ server }) => server.id));
        const candidates = this.registry.active(service)
            .filter(({ id }) => !used.has(id) && !lost.has(id) && !this.suspicions.isExcluded(id));
        const parts: LayerPathPart[] = [];
        let zone: string | undefined;
        for (const part of path.parts) {
            if (!lost.has(part.server.id)) {
                parts.push(part);
                zone = part.server.availabilityZone;
                continue;
            }
            const taken = new Set(parts.map(({ server }) => server.id));
            const replacement = zone === undefined ? undefined : this.find(
                candidates.filter(({ id }) => !taken.has(id)),
                engine,
                size,
                { layers: part.layers, zone, followsPart: true },
            );
            if (replacement === undefined) {
                return undefined;
            }
            parts.push(...replacement.parts);
        }
        return { parts, cost: path.cost };
    }

    private wholeSpan(engine: EngineProfile): PathSpan {
        return {
            layers: { first: 0, last: engine.layerCount - 1 },
            zone: this.options.homeZone,
            followsPart: false,
        };
    }

    private findWithLeaving(
        service: string,
        active: readonly ServerEntry[],
        engine: EngineProfile,
        size: RequestSize,
        avoided: ReadonlySet<string>,
    ): LayerPath | undefined {
        const leaving = this.registry
            .recentlyLeaving(service, this.options.leavingUseMilliseconds)
            .filter(({ id }) => !avoided.has(id));
        return leaving.length === 0 ? undefined : this.find([...active, ...leaving], engine, size);
    }

    private find(
        entries: readonly ServerEntry[],
        engine: EngineProfile,
        size: RequestSize,
        span?: PathSpan,
    ): LayerPath | undefined {
        const holders = entries.flatMap(({ id, availabilityZone, layers }) =>
            layers === undefined ? [] : [{ id, availabilityZone, range: layers }]
        );
        const standby = findStandbyServers(holders, engine.layerCount);
        const servers = entries.flatMap(entry => this.describe(entry, engine, standby.has(entry.id)));
        return this.finder.find(servers, engine, size, span ?? this.wholeSpan(engine));
    }

    private describe(entry: ServerEntry, engine: EngineProfile, standby: boolean): PathServer[] {
        const kind = engine.kinds.get(entry.kind ?? "");
        if (kind === undefined || entry.layers === undefined) {
            return [];
        }
        return [{
            entry,
            layers: entry.layers,
            standby,
            stepFactor: kind.stepFactor,
            readFactor: kind.readFactor,
            requests: this.load.requests(entry.id),
            tokens: this.load.tokens(entry.id),
            tokenCapacity: tokensThatFit(engine, kind, layerCount(entry.layers)),
        }];
    }
}
