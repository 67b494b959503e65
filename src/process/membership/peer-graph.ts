/**
 * Which routers a router probes and keeps connections to. Every router computes it from its view alone. Within an
 * availability zone the members stand on a ring, ordered by hash; each probes those at fixed distances, so that each
 * is probed by as many others, and news reach all in few steps. One link leads to the next member of another
 * availability zone of the region, and some members hold one to another region, so that the whole stays connected.
 */
import { LRUCache } from "lru-cache";
import type { RouterMember } from "../../domain/fleet.js";
import { hashText } from "./hashing.js";

/** Members of each availability zone that hold a link to another region. */
const regionLinkHolders = 6;
/** Places on the ring that are remembered, since the graph is made anew at each change. */
const ringPlaces = new LRUCache<string, number>({ max: 4_096 });

/** The members that `self` probes. */
export function choosePeers(self: RouterMember, present: readonly RouterMember[]): readonly RouterMember[] {
    const ring = orderByHash(present.some(member => member.id === self.id) ? present : [...present, self]);
    const { region, availabilityZone } = self.location;
    const inRegion = ring.filter(member => member.location.region === region);
    const inZone = inRegion.filter(member => member.location.availabilityZone === availabilityZone);
    const position = inZone.findIndex(member => member.id === self.id);
    const chosen = new Map<string, RouterMember>();
    for (const distance of ringDistances(inZone.length)) {
        const peer = inZone[(position + distance) % inZone.length]!;
        chosen.set(peer.id, peer);
    }
    const otherZone = nextWhere(inRegion, self, member => member.location.availabilityZone !== availabilityZone);
    const otherRegion = position < regionLinkHolders
        ? nextWhere(ring, self, member => member.location.region !== region)
        : undefined;
    for (const peer of [otherZone, otherRegion]) {
        if (peer !== undefined) {
            chosen.set(peer.id, peer);
        }
    }
    chosen.delete(self.id);
    return [...chosen.values()];
}

/** Distances on a ring of the given size: next, and three that cross it quickly. */
export function ringDistances(size: number): readonly number[] {
    const distances = [1, Math.round(size ** (1 / 3)), Math.round(size ** (2 / 3)), Math.floor(size / 2)];
    return [...new Set(distances)].filter(distance => distance > 0 && distance < size);
}

function ringPlace(id: string): number {
    const known = ringPlaces.get(id);
    if (known !== undefined) {
        return known;
    }
    const place = hashText(id);
    ringPlaces.set(id, place);
    return place;
}

function orderByHash(members: readonly RouterMember[]): RouterMember[] {
    return members
        .map(member => ({ member, hash: ringPlace(member.id) }))
        .sort((left, right) => left.hash - right.hash || (left.member.id < right.member.id ? -1 : 1))
        .map(entry => entry.member);
}

function nextWhere(
    ring: readonly RouterMember[],
    self: RouterMember,
    fits: (member: RouterMember) => boolean,
): RouterMember | undefined {
    const position = ring.findIndex(member => member.id === self.id);
    for (let step = 1; step < ring.length; step++) {
        const candidate = ring[(position + step) % ring.length]!;
        if (fits(candidate)) {
            return candidate;
        }
    }
    return undefined;
}
