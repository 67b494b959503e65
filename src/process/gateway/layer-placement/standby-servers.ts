/**
 * Finds the standby servers: servers whose layers other servers hold too, and which requests avoid while the others have
 * capacity, so that they can take over lost layers without interrupting requests. A zone keeps as many as reload half of
 * the model, or the layers of its largest server; all further copies carry load, because a layer with several holders
 * needs no reload when one of them is lost. The result is deterministic, so that all routers find the same standby
 * servers from the same registry.
 */
import { layerCount as countLayers, type LayerRange } from "../../../domain/layers.js";
import { LayerCoverage } from "./layer-coverage.js";

export interface LayerHolder {
    readonly id: string;
    readonly availabilityZone: string;
    readonly range: LayerRange;
}

/** Decides which servers are kept free of requests. */
export interface StandbyPolicy {
    /** Returns the IDs of the standby servers. */
    findStandbyServers(holders: readonly LayerHolder[], layerCount: number): Set<string>;
}

/** Baseline policy: every server whose layers others hold is a standby server, so one thin copy carries the load. */
export class WholeSurplusStandby implements StandbyPolicy {
    findStandbyServers(holders: readonly LayerHolder[], layerCount: number): Set<string> {
        return selectRedundant(holders, layerCount, () => Infinity);
    }
}

/** Layers that likely losses at the same moment concern, as a share of the model: half of the servers of one path. */
const likelyLossShare = 0.5;

/**
 * Keeps half a copy of the model in reserve in each zone, or the layers of its largest server if these are more. Answers
 * the load pattern of a fleet in which each zone holds several copies: the surplus shares the load, and the loss of a
 * server concerns few requests. A zone with little more than one copy keeps all of its surplus in reserve.
 */
export class HalfCopyStandby implements StandbyPolicy {
    findStandbyServers(holders: readonly LayerHolder[], layerCount: number): Set<string> {
        return selectRedundant(
            holders,
            layerCount,
            members => Math.max(likelyLossShare * layerCount, ...members.map(({ range }) => countLayers(range))),
        );
    }
}

/**
 * Considers each zone separately; servers with small ranges become standby servers first, until these hold the number of
 * layers that `reservedLayers` returns for the zone.
 */
function selectRedundant(
    holders: readonly LayerHolder[],
    layerCount: number,
    reservedLayers: (members: readonly LayerHolder[]) => number,
): Set<string> {
    const standby = new Set<string>();
    for (const members of groupByZone(holders)) {
        const coverage = new LayerCoverage(layerCount);
        members.forEach(({ range }) => coverage.add(range));
        let missing = reservedLayers(members);
        for (const { id, range } of members.sort(compareHolders)) {
            if (missing <= 0) {
                break;
            }
            if (coverage.isRedundant(range)) {
                coverage.remove(range);
                standby.add(id);
                missing -= countLayers(range);
            }
        }
    }
    return standby;
}

function groupByZone(holders: readonly LayerHolder[]): LayerHolder[][] {
    const zones = new Map<string, LayerHolder[]>();
    for (const holder of holders) {
        const members = zones.get(holder.availabilityZone);
        if (members === undefined) {
            zones.set(holder.availabilityZone, [holder]);
        }
        else {
            members.push(holder);
        }
    }
    return [...zones.values()];
}

function compareHolders(left: LayerHolder, right: LayerHolder): number {
    return countLayers(left.range) - countLayers(right.range) || (left.id < right.id ? -1 : 1);
}
