/**
 * The backend servers that one router keeps connections to: a stable subset, equal in load over the routers, that
 * covers every layer of every model with alternatives in each availability zone. A pure function of the live routers
 * and the servers, so that no agreement is needed; routers with different views for a while only differ in load.
 *
 * For each model and availability zone the servers stand on a circle, those with equal layers at equal distances, and
 * the routers of one availability zone start from equally spaced points of it. Each takes servers from its point on
 * until every layer is covered deeply enough.
 */
import type { Holding } from "../../domain/backend-server.js";
import { formatLayerRange, type LayerRange } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";

/** A router that takes part. */
export interface SubsetRouter {
    readonly id: string;
    readonly location: Location;
}

/** A backend server that may be taken. */
export interface SubsetServer {
    readonly id: string;
    readonly location: Location;
    readonly holdings: readonly Holding[];
}

/** How many servers a router takes for each layer. */
export interface SubsetDepths {
    readonly ownZone: number;
    /** In each other availability zone of the region. */
    readonly region: number;
    /** In each availability zone of other regions. */
    readonly otherRegion: number;
}

export const defaultSubsetDepths: SubsetDepths = { ownZone: 3, region: 1, otherRegion: 1 };

export interface SubsetInput {
    readonly self: SubsetRouter;
    /** All live routers; this one need not be among them. */
    readonly routers: readonly SubsetRouter[];
    readonly depths: SubsetDepths;
    /** Servers that cannot be used keep their place on the circle, so that the others do not move. */
    isUsable(server: string): boolean;
}

const hashOffset = 0x811c9dc5;
const hashPrime = 0x01000193;
const hashValues = 2 ** 32;

/** A hash of the text, as a number in [0, 1) (FNV-1a with a final mix). */
function unitHash(text: string): number {
    let hash = hashOffset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), hashPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return ((hash ^ (hash >>> 16)) >>> 0) / hashValues;
}

function zoneKey(location: Location): string {
    return `${location.region}/${location.availabilityZone}`;
}

interface CirclePlace {
    readonly id: string;
    readonly position: number;
    /** Segments between the model's range ends that the server covers; the last does not belong to it. */
    readonly firstSegment: number;
    readonly endSegment: number;
}

/** The servers that hold one model in one availability zone. */
interface Circle {
    readonly zone: string;
    readonly region: string;
    /** Ascending by position. */
    readonly places: readonly CirclePlace[];
}

interface ModelCircles {
    readonly model: string;
    readonly segmentTotal: number;
    readonly circles: readonly Circle[];
}

/** The servers' places, made anew when the list of servers or their holdings change. */
export class SubsetRings {
    private readonly models: readonly ModelCircles[];

    constructor(servers: readonly SubsetServer[]) {
        this.models = buildModels(servers);
    }

    /** IDs of the servers that the router keeps connections to. */
    choose(input: SubsetInput): Set<string> {
        const chosen = new Set<string>();
        const start = routerPoint(input.self, input.routers);
        for (const model of this.models) {
            chooseForModel(model, input, start, chosen);
        }
        return chosen;
    }
}

/** This router's point among those of its availability zone, in [0, 1). */
function routerPoint(self: SubsetRouter, routers: readonly SubsetRouter[]): number {
    const zone = zoneKey(self.location);
    const selfHash = unitHash(self.id);
    const neighbors = routers.filter(router => router.id !== self.id && zoneKey(router.location) === zone);
    const rank = neighbors.filter(router => unitHash(router.id) < selfHash).length;
    return (rank + 0.5) / (neighbors.length + 1);
}

/** Takes servers of one model: own availability zone first, then those that stand in for what it lacks. */
function chooseForModel(model: ModelCircles, input: SubsetInput, start: number, chosen: Set<string>): void {
    const own = zoneKey(input.self.location);
    const { region } = input.self.location;
    const { depths } = input;
    const tiers = [
        { depth: 0, circles: model.circles.filter(circle => circle.zone === own) },
        {
            depth: depths.region,
            circles: model.circles.filter(circle => circle.zone !== own && circle.region === region),
        },
        { depth: depths.otherRegion, circles: model.circles.filter(circle => circle.region !== region) },
    ];
    let deficit = Array.from({ length: model.segmentTotal }, () => depths.ownZone);
    for (const { depth, circles } of tiers) {
        const wanted = deficit.map(missing => depth + Math.ceil(missing / Math.max(1, circles.length)));
        const covered = deficit.map(() => 0);
        for (const circle of circles) {
            const point = (start + unitHash(`${own}|${model.model}|${circle.zone}`)) % 1;
            const inCircle = walk(circle, point, wanted, input, chosen);
            inCircle.forEach((count, segment) => covered[segment]! += count);
        }
        const usual = depth * circles.length;
        deficit = deficit.map((missing, segment) => Math.max(0, missing - Math.max(0, covered[segment]! - usual)));
    }
}

/** Takes servers from the point on, once around, until each segment is covered as deeply as wanted. */
function walk(
    circle: Circle,
    point: number,
    wanted: readonly number[],
    input: SubsetInput,
    chosen: Set<string>,
): number[] {
    const covered = wanted.map(() => 0);
    const first = Math.max(0, circle.places.findIndex(place => place.position >= point));
    let missing = wanted.reduce((sum, depth) => sum + depth, 0);
    for (let step = 0; step < circle.places.length && missing > 0; step++) {
        const place = circle.places[(first + step) % circle.places.length]!;
        if (isWanted(place, covered, wanted) && input.isUsable(place.id)) {
            chosen.add(place.id);
            missing -= cover(place, covered, wanted);
        }
    }
    return covered;
}

function isWanted(place: CirclePlace, covered: readonly number[], wanted: readonly number[]): boolean {
    for (let segment = place.firstSegment; segment < place.endSegment; segment++) {
        if (covered[segment]! < wanted[segment]!) {
            return true;
        }
    }
    return false;
}

/** Counts the server in; gives how many wanted covers it adds. */
function cover(place: CirclePlace, covered: number[], wanted: readonly number[]): number {
    let added = 0;
    for (let segment = place.firstSegment; segment < place.endSegment; segment++) {
        added += covered[segment]! < wanted[segment]! ? 1 : 0;
        covered[segment]! += 1;
    }
    return added;
}

interface LikeServers {
    readonly key: string;
    readonly model: string;
    readonly location: Location;
    readonly layers: LayerRange;
    readonly servers: string[];
}

function buildModels(servers: readonly SubsetServer[]): ModelCircles[] {
    const models = new Map<string, LikeServers[]>();
    for (const like of groupAlike(servers)) {
        models.set(like.model, [...models.get(like.model) ?? [], like]);
    }
    return [...models].map(([model, groups]) => buildModel(model, groups));
}

/** Servers of one availability zone with equal layers of one model and version. */
function groupAlike(servers: readonly SubsetServer[]): Iterable<LikeServers> {
    const groups = new Map<string, LikeServers>();
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

function buildModel(model: string, groups: readonly LikeServers[]): ModelCircles {
    const ends = new Set(groups.flatMap(({ layers }) => [layers.first, layers.last + 1]));
    const boundaries = [...ends].sort((left, right) => left - right);
    const zones = new Map<string, LikeServers[]>();
    for (const group of groups) {
        const zone = zoneKey(group.location);
        zones.set(zone, [...zones.get(zone) ?? [], group]);
    }
    const circles = [...zones.keys()].sort().map((zone): Circle => {
        const inZone = zones.get(zone)!;
        const places = inZone.flatMap(group => placeAlike(group, boundaries));
        places.sort((left, right) => left.position - right.position);
        return { zone, region: inZone[0]!.location.region, places };
    });
    return { model, segmentTotal: boundaries.length - 1, circles };
}

/** Puts servers with equal layers at equal distances from each other. */
function placeAlike(group: LikeServers, boundaries: readonly number[]): CirclePlace[] {
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
