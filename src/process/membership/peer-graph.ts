/**
 * Chooses the routers that a router probes and keeps connections to, from its own view of the fleet only. The members
 * of an availability zone form a ring, ordered by hash. Each member probes those at fixed ring distances, so that every
 * member is probed by the same number of others and deltas reach the whole zone in few hops. Each member also links to
 * the next member in another availability zone of its region, and some members link to another region, so that the
 * graph stays connected.
 */
import { LRUCache } from "lru-cache";
import type { RouterMember } from "../../domain/fleet.js";
import { hashText } from "./hashing.js";

/** Maximum number of members in each availability zone that link to another region. */
const regionLinkMembersPerZone = 6;
/** Cached ring positions (hashes) by router ID, since the graph is computed again at each change of the fleet. */
const ringPositions = new LRUCache<string, number>({ max: 4_096 });

/** Returns the members that `self` probes, without duplicates and without `self`. */
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
    const otherZone = nextMatching(inRegion, self, member => member.location.availabilityZone !== availabilityZone);
    const otherRegion = position < regionLinkMembersPerZone
        ? nextMatching(ring, self, member => member.location.region !== region)
        : undefined;
    for (const peer of [otherZone, otherRegion]) {
        if (peer !== undefined) {
            chosen.set(peer.id, peer);
        }
    }
    chosen.delete(self.id);
    return [...chosen.values()];
}

/** Ring distances to probe: 1, size^(1/3), size^(2/3) and size/2, which keep paths through the ring short. */
export function ringDistances(size: number): readonly number[] {
    const distances = [1, Math.round(size ** (1 / 3)), Math.round(size ** (2 / 3)), Math.floor(size / 2)];
    return [...new Set(distances)].filter(distance => distance > 0 && distance < size);
}

function ringPosition(id: string): number {
    const known = ringPositions.get(id);
    if (known !== undefined) {
        return known;
    }
    const position = hashText(id);
    ringPositions.set(id, position);
    return position;
}

function orderByHash(members: readonly RouterMember[]): RouterMember[] {
    return members
        .map(member => ({ member, hash: ringPosition(member.id) }))
        .sort((left, right) => left.hash - right.hash || (left.member.id < right.member.id ? -1 : 1))
        .map(entry => entry.member);
}

function nextMatching(
    ring: readonly RouterMember[],
    self: RouterMember,
    matches: (member: RouterMember) => boolean,
): RouterMember | undefined {
    const position = ring.findIndex(member => member.id === self.id);
    for (let step = 1; step < ring.length; step++) {
        const candidate = ring[(position + step) % ring.length]!;
        if (matches(candidate)) {
            return candidate;
        }
    }
    return undefined;
}
