/** Decomposes a flow over a layered graph into paths, along which load can be sent in proportion to their rates. */
import type { FlowPath, FlowPathStep } from "./types.js";

/** A flow in tokens per second. A segment is the layers between two neighbouring boundaries. */
export interface LayeredFlow {
    readonly segmentTotal: number;
    readonly locationTotal: number;
    /** Index of each group's location. */
    readonly groupLocations: readonly number[];
    /** Flow that a group computes in a segment, at index group * segmentTotal + segment. */
    readonly computeFlows: Float64Array;
    /** Flow between two locations at a boundary, at index (boundary * locationTotal + from) * locationTotal + to. */
    readonly transferFlows: Float64Array;
}

/** Flow values of at most this share of the total are treated as rounding errors. */
const negligibleShare = 1e-4;
const noGroup = -1;

/** A path that is being followed through the flow, with the indexes of the flow values that it uses. */
interface Walk {
    readonly steps: FlowPathStep[];
    readonly computeIndexes: number[];
    readonly transferIndexes: number[];
}

class FlowDecomposer {
    constructor(private readonly flow: LayeredFlow, private readonly negligibleFlow: number) {}

    decompose(): FlowPath[] {
        const paths: FlowPath[] = [];
        const maximumWalks = this.flow.computeFlows.length + this.flow.transferFlows.length;
        for (let walks = 0; walks < maximumWalks; walks++) {
            const start = this.findLargestGroup(0, undefined);
            if (start === noGroup) {
                break;
            }
            const walk: Walk = { steps: [], computeIndexes: [], transferIndexes: [] };
            const reachesLastBoundary = this.followFlow(start, walk);
            const rate = this.subtractWalk(walk);
            if (reachesLastBoundary) {
                paths.push({ tokensPerSecond: rate, steps: walk.steps });
            }
        }
        return paths;
    }

    private computeIndex(group: number, segment: number): number {
        return group * this.flow.segmentTotal + segment;
    }

    private transferIndex(boundary: number, from: number, to: number): number {
        return (boundary * this.flow.locationTotal + from) * this.flow.locationTotal + to;
    }

    /**
     * Returns the group with the largest flow in a segment, in the given location or in any; -1 if no group has more
     * than negligible flow.
     */
    private findLargestGroup(segment: number, location: number | undefined): number {
        let best = noGroup;
        let bestFlow = this.negligibleFlow;
        this.flow.groupLocations.forEach((groupLocation, group) => {
            const flow = this.flow.computeFlows[this.computeIndex(group, segment)]!;
            if (flow > bestFlow && (location === undefined || location === groupLocation)) {
                bestFlow = flow;
                best = group;
            }
        });
        return best;
    }

    /**
     * Follows the flow to the last boundary and stays in each group as long as possible. Returns false if the flow
     * ends before the last boundary.
     */
    private followFlow(start: number, walk: Walk): boolean {
        let group = start;
        let first = 0;
        for (let segment = 0; segment < this.flow.segmentTotal; segment++) {
            walk.computeIndexes.push(this.computeIndex(group, segment));
            const boundary = segment + 1;
            if (boundary === this.flow.segmentTotal) {
                break;
            }
            const next = this.findNextGroup(group, boundary, walk);
            if (next === noGroup) {
                return false;
            }
            if (next !== group) {
                walk.steps.push({ group, firstBoundary: first, endBoundary: boundary });
                first = boundary;
                group = next;
            }
        }
        walk.steps.push({ group, firstBoundary: first, endBoundary: this.flow.segmentTotal });
        return true;
    }

    /** Returns the group that computes the segment after the boundary; -1 if the flow ends there. */
    private findNextGroup(group: number, boundary: number, walk: Walk): number {
        const from = this.flow.groupLocations[group]!;
        const localTransfer = this.transferIndex(boundary, from, from);
        const computesNextSegment = this.flow.computeFlows[this.computeIndex(group, boundary)]! > this.negligibleFlow;
        if (this.flow.transferFlows[localTransfer]! > this.negligibleFlow && computesNextSegment) {
            walk.transferIndexes.push(localTransfer);
            return group;
        }
        const others = Array.from({ length: this.flow.locationTotal }, (_unused, location) => location)
            .filter(location => location !== from);
        for (const to of [from, ...others]) {
            const transfer = this.transferIndex(boundary, from, to);
            const next = this.flow.transferFlows[transfer]! > this.negligibleFlow
                ? this.findLargestGroup(boundary, to)
                : noGroup;
            if (next !== noGroup) {
                walk.transferIndexes.push(transfer);
                return next;
            }
        }
        return noGroup;
    }

    /** Subtracts the walk from the flow at the largest rate that all its values allow, and returns that rate. */
    private subtractWalk({ computeIndexes, transferIndexes }: Walk): number {
        const { computeFlows, transferFlows } = this.flow;
        const rate = Math.min(
            ...computeIndexes.map(index => computeFlows[index]!),
            ...transferIndexes.map(index => transferFlows[index]!),
        );
        computeIndexes.forEach(index => computeFlows[index]! -= rate);
        transferIndexes.forEach(index => transferFlows[index]! -= rate);
        return rate;
    }
}

/**
 * Returns paths whose rates add up to approximately `tokensPerSecond`, the flow's total: negligible flow and paths that
 * end before the last boundary are left out. Subtracts the paths from the flow.
 */
export function decomposeFlow(flow: LayeredFlow, tokensPerSecond: number): FlowPath[] {
    return new FlowDecomposer(flow, tokensPerSecond * negligibleShare).decompose();
}
