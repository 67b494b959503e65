/**
 * Rendezvous hashing: every router ranks the same members in the same order for a key, and the loss of one member moves
 * only the keys that it held.
 */
import { createHash } from "node:crypto";

/** The members in order of their scores for the key, the highest first. */
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

/** A score that is spread evenly and the same on every router. */
export function rendezvousScore(key: string, member: string): string {
    return createHash("sha1").update(key).update("\0").update(member).digest("hex");
}
