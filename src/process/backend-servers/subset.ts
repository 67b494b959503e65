/**
 * Deterministic subsetting. Selects the backend servers that one router keeps connections to: a stable subset that
 * spreads connections evenly over the servers and covers every layer of every model with alternatives in each
 * availability zone. The selection is a pure function of the live routers and the servers, so that the routers need no
 * coordination; while their views differ, only the distribution of load is affected.
 *
 * Each model version has a ring of servers in each availability zone. Servers with equal layers are equally spaced on
 * the ring, and the routers of one availability zone start at equally spaced positions. Each router selects servers
 * from its start position onwards until every layer has the required number of servers.
 */
import type { Holding } from "../../domain/backend-server.js";
import { formatLayerRange, type LayerRange } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";

export interface SubsetRouter {
    readonly id: string;
    readonly location: Location;
}

/** A backend server that can be selected. */
export interface SubsetServer {
    readonly id: string;
    readonly location: Location;
    readonly holdings: readonly Holding[];
}

/** Number of servers that a router selects for each layer. */
export interface SubsetDepths {
    /** In the router's own availability zone. */
    readonly ownZone: number;
    /** In each other availability zone of the region. */
    readonly region: number;
    /** In each availability zone of other regions. */
    readonly otherRegion: number;
}

export const defaultSubsetDepths: SubsetDepths = { ownZone: 3, region: 1, otherRegion: 1 };

export interface SubsetInput {
    readonly self: SubsetRouter;
    /** All live routers; may omit `self`. */
    readonly routers: readonly SubsetRouter[];
    readonly depths: SubsetDepths;
    /** Unusable servers are skipped but keep their positions on the ring, so that the other servers do not move. */
    isUsable(server: string): boolean;
}

const hashOffset = 0x811c9dc5;
const hashPrime = 0x01000193;
const hashValueCount = 2 ** 32;

/** Hashes the text to a number in [0, 1), using FNV-1a with the final mix of MurmurHash3. */
function unitHash(text: string): number {
    let hash = hashOffset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), hashPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return ((hash ^ (hash >>> 16)) >>> 0) / hashValueCount;
}

function zoneKey(location: Location): string {
    return `${location.region}/${location.availabilityZone}`;
}

interface RingEntry {
    readonly id: string;
    readonly position: number;
    /**
     * The server covers the segments from `firstSegment` up to but excluding `endSegment`. Segments are the parts into
     * which the ends of all held layer ranges divide the model.
     */
    readonly firstSegment: number;
    readonly endSegment: number;
}

/** The servers that hold layers of one model version in one availability zone. */
interface Ring {
    readonly zone: string;
    readonly region: string;
    /** Ascending by position. */
    readonly entries: readonly RingEntry[];
}

interface ModelRings {
    /** `MODEL@VERSION`. */
    readonly model: string;
    readonly segmentCount: number;
    readonly rings: readonly Ring[];
}

/** The rings of all model versions. Immutable: to be rebuilt when the servers or their holdings change. */
export class SubsetRings {
    private readonly models: readonly ModelRings[];

    constructor(servers: readonly SubsetServer[]) {
        this.models = buildModels(servers);
    }

    /** Returns the IDs of the servers to which the router keeps connections. */
    select(input: SubsetInput): Set<string> {
        const selected = new Set<string>();
        const start = routerRingPosition(input.self, input.routers);
        for (const model of this.models) {
            selectForModel(model, input, start, selected);
        }
        return selected;
    }
}

/** Returns this router's start position, equally spaced among the routers of its availability zone, in [0, 1). */
function routerRingPosition(self: SubsetRouter, routers: readonly SubsetRouter[]): number {
    const zone = zoneKey(self.location);
    const selfHash = unitHash(self.id);
    const otherRoutersInZone = routers.filter(router => router.id !== self.id && zoneKey(router.location) === zone);
    const rank = otherRoutersInZone.filter(router => unitHash(router.id) < selfHash).length;
    return (rank + 0.5) / (otherRoutersInZone.length + 1);
}

/**
 * Selects the servers of one model, in the own availability zone first. Coverage that a tier lacks is added to the
 * depths required of the next tier, divided over its rings.
 */
function selectForModel(model: ModelRings, input: SubsetInput, start: number, selected: Set<string>): void {
    const ownZoneKey = zoneKey(input.self.location);
    const { region } = input.self.location;
    const { depths } = input;
    const tiers = [
        { depth: 0, rings: model.rings.filter(ring => ring.zone === ownZoneKey) },
        {
            depth: depths.region,
            rings: model.rings.filter(ring => ring.zone !== ownZoneKey && ring.region === region),
        },
        { depth: depths.otherRegion, rings: model.rings.filter(ring => ring.region !== region) },
    ];
    let missingDepths = Array.from({ length: model.segmentCount }, () => depths.ownZone);
    for (const { depth, rings } of tiers) {
        const wanted = missingDepths.map(missing => depth + Math.ceil(missing / Math.max(1, rings.length)));
        const covered = missingDepths.map(() => 0);
        for (const ring of rings) {
            const startPosition = (start + unitHash(`${ownZoneKey}|${model.model}|${ring.zone}`)) % 1;
            const ringCoverage = selectFromRing(ring, startPosition, wanted, input, selected);
            ringCoverage.forEach((count, segment) => covered[segment]! += count);
        }
        const baseline = depth * rings.length;
        missingDepths = missingDepths.map((missing, segment) =>
            Math.max(0, missing - Math.max(0, covered[segment]! - baseline))
        );
    }
}

/**
 * Selects servers from the start position onwards, at most once around the ring, until each segment has its required
 * number of servers. Returns the number of selected servers that cover each segment.
 */
function selectFromRing(
    ring: Ring,
    startPosition: number,
    wanted: readonly number[],
    input: SubsetInput,
    selected: Set<string>,
): number[] {
    const covered = wanted.map(() => 0);
    const first = Math.max(0, ring.entries.findIndex(entry => entry.position >= startPosition));
    let missing = wanted.reduce((sum, depth) => sum + depth, 0);
    for (let step = 0; step < ring.entries.length && missing > 0; step++) {
        const entry = ring.entries[(first + step) % ring.entries.length]!;
        if (extendsCoverage(entry, covered, wanted) && input.isUsable(entry.id)) {
            selected.add(entry.id);
            missing -= addCoverage(entry, covered, wanted);
        }
    }
    return covered;
}

function extendsCoverage(entry: RingEntry, covered: readonly number[], wanted: readonly number[]): boolean {
    for (let segment = entry.firstSegment; segment < entry.endSegment; segment++) {
        if (covered[segment]! < wanted[segment]!) {
            return true;
        }
    }
    return false;
}

/** Adds the server to the coverage. Returns the number of segments that had fewer servers than required before. */
function addCoverage(entry: RingEntry, covered: number[], wanted: readonly number[]): number {
    let added = 0;
    for (let segment = entry.firstSegment; segment < entry.endSegment; segment++) {
        added += covered[segment]! < wanted[segment]! ? 1 : 0;
        covered[segment]! += 1;
    }
    return added;
}

interface ServerGroup {
    readonly key: string;
    /** `MODEL@VERSION`. */
    readonly model: string;
    readonly location: Location;
    readonly layers: LayerRange;
    readonly servers: string[];
}

function buildModels(servers: readonly SubsetServer[]): ModelRings[] {
    const models = new Map<string, ServerGroup[]>();
    for (const group of groupByLayers(servers)) {
        models.set(group.model, [...models.get(group.model) ?? [], group]);
    }
    return [...models].map(([model, groups]) => buildModel(model, groups));
}

/** Groups the servers that hold the same layers of the same model version in the same availability zone. */
function groupByLayers(servers: readonly SubsetServer[]): Iterable<ServerGroup> {
    const groups = new Map<string, ServerGroup>();
    for (const { id, location, holdings } of servers) {
        for (const { model, modelVersion, layers } of holdings) {
            const name = `${model}@${modelVersion}`;
            const key = `${name}|${zoneKey(location)}|${formatLayerRange(layers)}`;
            const group = groups.get(key) ?? { key, model: name, location, layers, servers: [] };
            group.servers.push(id);
            groups.set(key, group);
        }
    }
    return groups.values();
}

function buildModel(model: string, groups: readonly ServerGroup[]): ModelRings {
    const ends = new Set(groups.flatMap(({ layers }) => [layers.first, layers.last + 1]));
    const boundaries = [...ends].sort((left, right) => left - right);
    const zones = new Map<string, ServerGroup[]>();
    for (const group of groups) {
        const zone = zoneKey(group.location);
        zones.set(zone, [...zones.get(zone) ?? [], group]);
    }
    const rings = [...zones.keys()].sort().map((zone): Ring => {
        const inZone = zones.get(zone)!;
        const entries = inZone.flatMap(group => placeGroup(group, boundaries));
        entries.sort((left, right) => left.position - right.position);
        return { zone, region: inZone[0]!.location.region, entries };
    });
    return { model, segmentCount: boundaries.length - 1, rings };
}

/** Places servers with equal layers on the ring, equally spaced in the order of their hashes. */
function placeGroup(group: ServerGroup, boundaries: readonly number[]): RingEntry[] {
    const hashed = group.servers.map(id => ({ id, hash: unitHash(id) }));
    hashed.sort((left, right) => left.hash - right.hash || (left.id < right.id ? -1 : 1));
    const offset = unitHash(group.key);
    return hashed.map(({ id }, index) => ({
        id,
        position: (index + offset) / hashed.length,
        firstSegment: boundaries.indexOf(group.layers.first),
        endSegment: boundaries.indexOf(group.layers.last + 1),
    }));
}
