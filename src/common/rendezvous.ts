/**
 * Rendezvous hashing: every router ranks the same members in the same order for a key, and the loss of a member moves
 * only the keys for which that member ranked first.
 */
import { createHash } from "node:crypto";

/** Returns the members sorted by their scores for the key, highest first. `identify` returns a member's unique ID. */
export function rankByRendezvous<Member>(
    key: string,
    members: readonly Member[],
    identify: (member: Member) => string,
): Member[] {
    return members
        .map(member => ({ member, score: rendezvousScore(key, identify(member)) }))
        .sort((left, right) => left.score < right.score ? 1 : -1)
        .map(({ member }) => member);
}

/** Returns a hexadecimal score that is uniformly distributed and the same on every router. */
export function rendezvousScore(key: string, member: string): string {
    return createHash("sha1").update(key).update("\0").update(member).digest("hex");
}
