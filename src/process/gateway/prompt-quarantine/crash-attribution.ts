/**
 * Decides which parts of prompts crash backend servers. Answers the load pattern of a few requests with a defective part
 * among many sound ones: each crash breaks off several attempts, whose prompts also share parts with the defective ones,
 * and no router sees all of them.
 */
import type { CrashAttribution, CrashCause, CrashEvidence, OwnAttempts } from "./types.js";

/** Fewer crashes may have come together by chance. */
const minimumCrashes = 3;
/** A defective part may spare some servers; a sound one succeeds far more often than it is near a crash. */
const minimumCrashShare = 0.2;
/** A loss of many servers breaks off prompts of all parts; a defective part meets crashes this much more often. */
const minimumLift = 2;
/** However many crashes there are, a part that crashes half of the servers that it reaches is found. */
const maximumRequiredShare = 0.4;
/** Servers that are lost at the same moment, as with their rack, say nothing about the requests that ran on them. */
const minimumSpanMilliseconds = 1_500;
/**
 * A defective part in many requests takes down all servers faster than that. Unlike a rack it is near nearly all crashes of that
 * time, in attempts that had only begun.
 */
const minimumBurstCrashes = 5;
const minimumBurstShare = 0.8;
/** Assumed success of each part, so that of two parts without successes the one with more crashes ranks first. */
const assumedSuccesses = 1;

/** Baseline: names every part that was near enough crashes, which includes the parts that defective prompts share. */
export class CountingAttribution implements CrashAttribution {
    findCauses(evidence: readonly CrashEvidence[], own: OwnAttempts): CrashCause[] {
        return [...collectParts(evidence, own).entries()]
            .map(([part, { servers, successes }]) => ({ part, crashes: servers.size, successes }))
            .filter(({ crashes }) => crashes >= minimumCrashes);
    }
}

/** Names the likeliest part, sets the crashes aside that it explains, and repeats with the remaining ones. */
export class ExplainingAwayAttribution implements CrashAttribution {
    findCauses(evidence: readonly CrashEvidence[], own: OwnAttempts): CrashCause[] {
        const parts = collectParts(evidence, own);
        const crashTimes = [...findCrashTimes(evidence).values()];
        const find = () => findLikeliest(parts, crashTimes, own.crashShare);
        const causes: CrashCause[] = [];
        for (let likeliest = find(); likeliest !== undefined; likeliest = find()) {
            const [part, { servers, successes }] = likeliest;
            causes.push({ part, crashes: servers.size, successes });
            const explained = new Set(servers.keys());
            parts.forEach(other => explained.forEach(server => other.servers.delete(server)));
        }
        return causes;
    }
}

interface PartCrash {
    /** When this router learnt of the crash. */
    readonly time: number;
    /** Whether an attempt with the part had only begun. */
    readonly early: boolean;
}

interface PartEvidence {
    /** The crashes that the part was near, by server start. */
    readonly servers: Map<string, PartCrash>;
    successes: number;
    /** Index in the latest prompt. */
    position: number;
}

function collectParts(evidence: readonly CrashEvidence[], own: OwnAttempts): Map<string, PartEvidence> {
    const parts = new Map<string, PartEvidence>();
    const latestCounts = new Map<string, Map<string, number>>();
    const crashTimes = findCrashTimes(evidence);
    for (const { serverStart, witness, parts: witnessedParts, early } of evidence) {
        witnessedParts.forEach(({ id, successes }, position) => {
            const part = parts.get(id) ?? { servers: new Map<string, PartCrash>(), successes: 0, position };
            part.servers.set(serverStart, {
                time: crashTimes.get(serverStart)!,
                early: early || part.servers.get(serverStart)?.early === true,
            });
            part.position = position;
            parts.set(id, part);
            const counts = latestCounts.get(id) ?? new Map<string, number>();
            latestCounts.set(id, counts.set(witness, successes));
        });
    }
    for (const [id, part] of parts) {
        const counts = latestCounts.get(id)!.set(own.witness, own.count(id));
        part.successes = [...counts.values()].reduce((sum, count) => sum + count, 0);
    }
    return parts;
}

/**
 * When this router learnt of each crash, by server start. The evidence of one crash arrives over some time, which must not
 * make the crashes near one part seem further apart than those near another.
 */
function findCrashTimes(evidence: readonly CrashEvidence[]): Map<string, number> {
    const times = new Map<string, number>();
    for (const { serverStart, learntAt } of evidence) {
        times.set(serverStart, Math.min(learntAt, times.get(serverStart) ?? Infinity));
    }
    return times;
}

function findLikeliest(
    parts: ReadonlyMap<string, PartEvidence>,
    crashTimes: readonly number[],
    crashShareOfAll: number,
): [string, PartEvidence] | undefined {
    return [...parts].filter(([, part]) => isSuspect(part, crashTimes, crashShareOfAll)).sort(compareLikelihood)[0];
}

/** Whether a part meets crashes much more often than all prompts, of whose attempts the given share ended with one. */
export function standsOut(crashes: number, successes: number, crashShareOfAll: number): boolean {
    const requiredShare = Math.max(minimumCrashShare, Math.min(maximumRequiredShare, minimumLift * crashShareOfAll));
    return crashes >= requiredShare * (crashes + successes);
}

function isSuspect(part: PartEvidence, crashTimes: readonly number[], crashShareOfAll: number): boolean {
    const { servers, successes } = part;
    if (servers.size < minimumCrashes || !standsOut(servers.size, successes, crashShareOfAll)) {
        return false;
    }
    const times = [...servers.values()].map(({ time }) => time);
    const [first, last] = [Math.min(...times), Math.max(...times)];
    if (last - first >= minimumSpanMilliseconds) {
        return true;
    }
    const crashesMeanwhile =
        crashTimes.filter(time => time > last - minimumSpanMilliseconds && time < first + minimumSpanMilliseconds)
            .length;
    return isBehindBurst(part, crashesMeanwhile, crashShareOfAll);
}

function isBehindBurst({ servers, successes }: PartEvidence, crashesOfAll: number, crashShareOfAll: number): boolean {
    const early = [...servers.values()].filter(crash => crash.early).length;
    return early >= minimumBurstCrashes
        && early >= minimumBurstShare * crashesOfAll
        // Here a loss of most servers would otherwise blame what all prompts share.
        && servers.size >= minimumLift * crashShareOfAll * (servers.size + successes);
}

/** Orders by falling share of crashes; parts further back in a prompt are shared by fewer requests. */
function compareLikelihood([leftId, left]: [string, PartEvidence], [rightId, right]: [string, PartEvidence]): number {
    return crashShare(right) - crashShare(left)
        || right.position - left.position
        || (leftId < rightId ? -1 : 1);
}

function crashShare({ servers, successes }: PartEvidence): number {
    return servers.size / (servers.size + successes + assumedSuccesses);
}
