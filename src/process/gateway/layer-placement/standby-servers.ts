/**
 * Finds the standby servers: servers whose layers are all held by other servers too. Requests avoid them while the
 * other servers have capacity, so that they can take over lost layers at any time. The result is deterministic, so that
 * all routers find the same standby servers from the same registry.
 */
import { layerCount as countLayers, type LayerRange } from "../../../domain/layers.js";
import { LayerCoverage } from "./layer-coverage.js";

export interface LayerHolder {
    readonly id: string;
    readonly availabilityZone: string;
    readonly range: LayerRange;
}

/**
 * IDs of the standby servers. Each availability zone is considered separately, and servers with small ranges become
 * standby servers first.
 */
export function findStandbyServers(holders: readonly LayerHolder[], layerCount: number): Set<string> {
    const standby = new Set<string>();
    const zones = new Set(holders.map(({ availabilityZone }) => availabilityZone));
    for (const zone of zones) {
        const members = holders.filter(({ availabilityZone }) => availabilityZone === zone);
        const coverage = new LayerCoverage(layerCount);
        members.forEach(({ range }) => coverage.add(range));
        for (const { id, range } of [...members].sort(compareHolders)) {
            if (coverage.isRedundant(range)) {
                coverage.remove(range);
                standby.add(id);
            }
        }
    }
    return standby;
}

function compareHolders(left: LayerHolder, right: LayerHolder): number {
    return countLayers(left.range) - countLayers(right.range) || (left.id < right.id ? -1 : 1);
}
