/**
 * Precomputed candidates for pipeline selection, built once per pipeline graph: backend servers with their records,
 * grouped by interchangeability and weighted for sampling by the flow split of the throughput bound.
 */
import { layerCount, type LayerRange } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";
import type { BackendServerRecord } from "../../process/backend-servers/backend-server-record.js";
import type { PipelineGraph } from "../../version/pipeline-graph/pipeline-graph.js";
import type { PipelineServer, ServerGroup } from "../../version/pipeline-graph/types.js";
import { minimumLayerOverlap, minimumSamplingShare } from "./constants.js";

export interface Candidate {
    readonly server: PipelineServer;
    readonly record: BackendServerRecord;
    /** Index into the graph's locations. */
    readonly location: number;
    /** Indexes into the graph's boundaries. */
    readonly firstBoundary: number;
    readonly endBoundary: number;
    /** Relative probability of being sampled within the group. */
    readonly weight: number;
    readonly group: CandidateGroup;
}

/** Backend servers of one availability zone whose layer ranges overlap enough to be interchangeable. */
export interface CandidateGroup {
    readonly candidates: Candidate[];
}

export interface CandidateIndex {
    readonly graph: PipelineGraph;
    readonly groups: readonly CandidateGroup[];
    /** Candidates of each server group of the graph, by the group's index in the graph. */
    readonly candidatesByGraphGroup: readonly (readonly Candidate[])[];
    /** One-way latency from the router to each of the graph's locations. */
    readonly routerLatencyMilliseconds: readonly number[];
    /** Looks up any known backend server, including servers that are not in the graph. */
    findRecord(id: string): BackendServerRecord | undefined;
}

export function buildCandidateIndex(
    graph: PipelineGraph,
    routerLocation: Location,
    findRecord: (id: string) => BackendServerRecord | undefined,
): CandidateIndex {
    const weights = computeSamplingWeights(graph);
    const candidatesByGraphGroup: Candidate[][] = graph.groups.map(() => []);
    const sortedGroups = graph.groups.map((group, index) => ({ group, weight: weights[index]!, index })).sort(
        (left, right) => compareGroups(left.group, right.group),
    );
    const groups: CandidateGroup[] = [];
    let reference: ServerGroup | undefined;
    for (const { group, weight, index } of sortedGroups) {
        if (reference === undefined || !haveSimilarLayers(reference, group)) {
            reference = group;
            groups.push({ candidates: [] });
        }
        const members = createCandidates(graph, groups.at(-1)!, group, weight, findRecord);
        groups.at(-1)!.candidates.push(...members);
        candidatesByGraphGroup[index]!.push(...members);
    }
    const routerLatencyMilliseconds = graph.locations.map(to =>
        graph.topology.link(routerLocation, to).latencyMilliseconds
    );
    return { graph, groups, candidatesByGraphGroup, routerLatencyMilliseconds, findRecord };
}

/**
 * For each server group, the fraction of its capacity that the throughput bound's flow split uses. All groups weigh the
 * same if the bound is too expensive to compute while a request waits.
 */
function computeSamplingWeights(graph: PipelineGraph): number[] {
    if (!graph.isBoundFastToCompute) {
        return graph.groups.map(() => 1);
    }
    const { groupLayerTokensPerSecond: groupLayerTokens } = graph.bound;
    const utilizations = graph.groups.map((group, index) => groupLayerTokens[index]! / group.layerTokensPerSecond);
    const mean = utilizations.reduce((sum, share) => sum + share, 0) / Math.max(1, utilizations.length);
    return mean === 0
        ? utilizations.map(() => 1)
        : utilizations.map(share => Math.max(share, mean * minimumSamplingShare));
}

function compareGroups(left: ServerGroup, right: ServerGroup): number {
    return left.location - right.location || left.layers.first - right.layers.first
        || left.layers.last - right.layers.last;
}

function haveSimilarLayers(left: ServerGroup, right: ServerGroup): boolean {
    return left.location === right.location
        && overlapLayerCount(left.layers, right.layers)
            >= minimumLayerOverlap * spanLayerCount(left.layers, right.layers);
}

function overlapLayerCount(left: LayerRange, right: LayerRange): number {
    const overlap = { first: Math.max(left.first, right.first), last: Math.min(left.last, right.last) };
    return Math.max(0, layerCount(overlap));
}

function spanLayerCount(left: LayerRange, right: LayerRange): number {
    return layerCount({ first: Math.min(left.first, right.first), last: Math.max(left.last, right.last) });
}

function createCandidates(
    graph: PipelineGraph,
    target: CandidateGroup,
    group: ServerGroup,
    weight: number,
    findRecord: (id: string) => BackendServerRecord | undefined,
): Candidate[] {
    return group.members.flatMap(server => {
        const record = findRecord(server.id);
        return record === undefined ? [] : [{
            server,
            record,
            location: group.location,
            firstBoundary: graph.boundaries.indexOf(group.layers.first),
            endBoundary: graph.boundaries.indexOf(group.layers.last + 1),
            weight: weight * server.layerTokensPerSecond,
            group: target,
        }];
    });
}
