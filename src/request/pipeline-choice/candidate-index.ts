/**
 * What a choice needs of a graph, laid out once for each graph: servers with their records, gathered into groups of
 * servers that can stand in for each other, with sampling weights that follow the throughput bound's split.
 */
import { layerCount, type LayerRange } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";
import type { BackendServerRecord } from "../../process/backend-servers/backend-server-record.js";
import type { PipelineGraph } from "../../version/pipeline-graph/pipeline-graph.js";
import type { PipelineServer, ServerGroup } from "../../version/pipeline-graph/types.js";
import { alikeLayerShare, minimumSamplingShare } from "./constants.js";

export interface Candidate {
    readonly server: PipelineServer;
    readonly record: BackendServerRecord;
    /** Index into the graph's locations. */
    readonly location: number;
    /** Indexes into the graph's boundaries. */
    readonly firstBoundary: number;
    readonly endBoundary: number;
    readonly weight: number;
    readonly group: CandidateGroup;
}

/** Servers of one availability zone with much the same layers. */
export interface CandidateGroup {
    readonly candidates: Candidate[];
}

export interface CandidateIndex {
    readonly graph: PipelineGraph;
    readonly groups: readonly CandidateGroup[];
    /** Candidates of each of the graph's groups, in the graph's order. */
    readonly graphGroups: readonly (readonly Candidate[])[];
    /** Milliseconds from the router to each of the graph's locations. */
    readonly routerLatencies: readonly number[];
    /** Finds the record of any known server, also of one outside the graph. */
    find(id: string): BackendServerRecord | undefined;
}

export function buildCandidateIndex(
    graph: PipelineGraph,
    routerLocation: Location,
    find: (id: string) => BackendServerRecord | undefined,
): CandidateIndex {
    const weights = samplingWeights(graph);
    const graphGroups: Candidate[][] = graph.groups.map(() => []);
    const order = graph.groups.map((group, index) => ({ group, weight: weights[index]!, index })).sort(
        (left, right) => compareGroups(left.group, right.group),
    );
    const groups: CandidateGroup[] = [];
    let first: ServerGroup | undefined;
    for (const { group, weight, index } of order) {
        if (first === undefined || !isAlike(first, group)) {
            first = group;
            groups.push({ candidates: [] });
        }
        const members = createCandidates(graph, groups.at(-1)!, group, weight, find);
        groups.at(-1)!.candidates.push(...members);
        graphGroups[index]!.push(...members);
    }
    const routerLatencies = graph.locations.map(to => graph.topology.link(routerLocation, to).latencyMilliseconds);
    return { graph, groups, graphGroups, routerLatencies, find };
}

/** For each group, its share of the split for one layer token of its capacity. */
function samplingWeights(graph: PipelineGraph): number[] {
    if (!graph.boundIsQuick) {
        return graph.groups.map(() => 1);
    }
    const { groupLayerTokens } = graph.bound;
    const used = graph.groups.map((group, index) => groupLayerTokens[index]! / group.layerTokensPerSecond);
    const mean = used.reduce((sum, share) => sum + share, 0) / Math.max(1, used.length);
    return mean === 0 ? used.map(() => 1) : used.map(share => Math.max(share, mean * minimumSamplingShare));
}

function compareGroups(left: ServerGroup, right: ServerGroup): number {
    return left.location - right.location || left.layers.first - right.layers.first
        || left.layers.last - right.layers.last;
}

function isAlike(left: ServerGroup, right: ServerGroup): boolean {
    return left.location === right.location
        && commonLayers(left.layers, right.layers) >= alikeLayerShare * spannedLayers(left.layers, right.layers);
}

function commonLayers(left: LayerRange, right: LayerRange): number {
    const common = { first: Math.max(left.first, right.first), last: Math.min(left.last, right.last) };
    return Math.max(0, layerCount(common));
}

function spannedLayers(left: LayerRange, right: LayerRange): number {
    return layerCount({ first: Math.min(left.first, right.first), last: Math.max(left.last, right.last) });
}

function createCandidates(
    graph: PipelineGraph,
    target: CandidateGroup,
    group: ServerGroup,
    weight: number,
    find: (id: string) => BackendServerRecord | undefined,
): Candidate[] {
    return group.members.flatMap(server => {
        const record = find(server.id);
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
