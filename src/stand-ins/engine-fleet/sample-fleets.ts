/**
 * Fleets of model engines for simulations: mixed accelerators in several availability zones, with the layers that the
 * layer planner gives them from an empty start.
 */
import type { AcceleratorKind, EngineProfile } from "../../domain/gateway/configuration.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import {
    layersThatFit,
    minimumMemoryReserve,
    preferredMemoryReserve,
} from "../../process/gateway/layer-placement/layer-capacity.js";
import { ZoneLayerPlanner } from "../../process/gateway/layer-placement/zone-layer-planner.js";

export const fleetService = "pool";

const kinds: readonly AcceleratorKind[] = [
    { name: "huge", memoryMegabytes: 72_000, stepFactor: 1.4, prefillFactor: 1 },
    { name: "large", memoryMegabytes: 36_000, stepFactor: 3, prefillFactor: 3 },
    { name: "medium", memoryMegabytes: 21_600, stepFactor: 16, prefillFactor: 8 },
    { name: "small", memoryMegabytes: 14_400, stepFactor: 15, prefillFactor: 15 },
];

/** A model of 80 layers that no single engine can hold. */
export const simulatedEngineProfile: EngineProfile = {
    layerCount: 80,
    layerMegabytes: 1_750,
    tokenCacheBytes: 610_000,
    stepMilliseconds: 0.85,
    stepMillisecondsPerRequest: 0.004,
    stepMillisecondsPerThousandTokens: 0.005,
    prefillTokensPerMillisecond: 272,
    slots: 134,
    activationBytes: 30_500,
    zoneLinkMegabitsPerSecond: 7_500,
    concurrentLoads: 36,
    loadSeconds: 14,
    typicalPromptTokens: 770,
    typicalOutputTokens: 175,
    tokensPerEvent: 1,
    reportLagMilliseconds: 200,
    kinds: new Map(kinds.map(kind => [kind.name, kind])),
};

/** How many engines of each kind stand among 40 engines of a zone, in the order of `kinds`. */
const kindCountsOfForty: readonly number[] = [1, 3, 18, 18];

function kindOf(indexInZone: number): AcceleratorKind {
    const kindsInOrder = kindCountsOfForty.flatMap((count, kind) => Array.from({ length: count }, () => kinds[kind]!));
    // A step that is coprime to the length mixes the kinds, so that a small zone gets some of each.
    return kindsInOrder[(indexInZone * 7) % kindsInOrder.length]!;
}

export interface FleetShape {
    readonly engines: number;
    readonly availabilityZones: number;
}

/** Entries of the engines, with layers as planned. */
export function createEngineFleet({ engines, availabilityZones }: FleetShape): ServerEntry[] {
    return planLayers(Array.from({ length: engines }, (_unused, index) =>
        createEmptyEngine(
            index,
            `zone-${index % availabilityZones}`,
            kindOf(Math.floor(index / availabilityZones)),
        )));
}

/** For each availability zone, the number of its engines of each kind, in the order of `kinds`. */
export type ZoneKindCounts = readonly (readonly number[])[];

/** Entries of the engines of zones that differ in number and kinds, with layers as planned. */
export function createUnevenEngineFleet(zones: ZoneKindCounts): ServerEntry[] {
    const placed = zones.flatMap((counts, zone) =>
        counts.flatMap((count, kind) => Array.from({ length: count }, () => ({ zone, kind: kinds[kind]! })))
    );
    return planLayers(placed.map(({ zone, kind }, index) => createEmptyEngine(index, `zone-${zone}`, kind)));
}

function createEmptyEngine(index: number, availabilityZone: string, kind: AcceleratorKind): ServerEntry {
    return {
        id: `engine-${index}`,
        service: fleetService,
        address: { host: "127.0.0.1", port: index + 1 },
        availabilityZone,
        bornAt: 1,
        heartbeats: 1,
        slots: simulatedEngineProfile.slots,
        draining: false,
        kind: kind.name,
        layers: undefined,
    };
}

function planLayers(empty: readonly ServerEntry[]): ServerEntry[] {
    const planned = empty.map(({ id, availabilityZone, kind: kindName }) => {
        const kind = simulatedEngineProfile.kinds.get(kindName!)!;
        return {
            id,
            availabilityZone,
            preferredMaximumLayers: layersThatFit(simulatedEngineProfile, kind, preferredMemoryReserve),
            maximumLayers: layersThatFit(simulatedEngineProfile, kind, minimumMemoryReserve),
            stepFactor: kind.stepFactor,
            standby: false,
            runningTokens: 0,
            orderBlocked: false,
            range: undefined,
        };
    });
    const ranges = new ZoneLayerPlanner().plan(planned, simulatedEngineProfile.layerCount);
    return empty.map(entry => ({ ...entry, layers: ranges.get(entry.id) }));
}
