/**
 * Tells which servers hold only layers that others hold too. Every router finds the same ones from the same registry:
 * requests pass them over while the others have room, so that they are free to take lost layers at any moment.
 */
import { layerCount as countLayers, type LayerRange } from "../../../domain/layers.js";
import { LayerCoverage } from "./layer-coverage.js";

export interface LayerHolder {
    readonly id: string;
    readonly availabilityZone: string;
    readonly range: LayerRange;
}

/** IDs of the servers that can be spared, each zone by itself; small ranges are spared first. */
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
