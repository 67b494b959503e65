/** Models, servers and topologies for tests of pipelines. */
import type { ModelDescription } from "../../src/domain/model.js";
import type { LinkCost, Location, Topology } from "../../src/domain/topology.js";
import type { PipelineServer } from "../../src/version/pipeline-graph/types.js";

export function createModel(layerTotal: number, name = "model"): ModelDescription {
    return {
        name,
        version: "1",
        layerTotal,
        layerBytes: 1e8,
        activationBytes: 8192,
        cacheBytesPerTokenLayer: 4096,
        adapters: [],
        maximumTokens: 4096,
    };
}

export function createLocation(availabilityZone: string, region = "region"): Location {
    return { region, availabilityZone };
}

export function createServer(
    id: string,
    availabilityZone: string,
    [first, last]: readonly [number, number],
    layerTokensPerSecond = 1000,
): PipelineServer {
    return {
        id,
        address: `http://127.0.0.1/${id}`,
        location: createLocation(availabilityZone),
        layers: { first, last },
        adapters: [],
        role: "mixed",
        layerTokensPerSecond,
    };
}

/** Topology with links by "from>to" of availability zones, a fast link within a zone, and a default for the rest. */
export function fixedTopology(links: Readonly<Record<string, LinkCost>>, defaultLink: LinkCost): Topology {
    const localLink = { latencyMilliseconds: 0, bytesPerSecond: 1e15 };
    return {
        link: (from, to) =>
            from.availabilityZone === to.availabilityZone
                ? localLink
                : links[`${from.availabilityZone}>${to.availabilityZone}`] ?? defaultLink,
    };
}
