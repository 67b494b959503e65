/** Splits a flow over a layered graph into paths, so that load can be sent along them in the same proportions. */
import type { FlowPath, FlowPathStep } from "./types.js";

/** A flow in tokens a second; consumed while it is split. */
export interface LayeredFlow {
    readonly segmentTotal: number;
    readonly locationTotal: number;
    /** Location of each group. */
    readonly groupLocations: readonly number[];
    /** For each group times the number of segments, plus the segment. */
    readonly computes: Float64Array;
    /** For each boundary, location from and location to, in this order. */
    readonly transfers: Float64Array;
}

/** Flow below this share of the whole is an artefact of rounding. */
const negligibleShare = 1e-4;
const none = -1;

/** What one path takes from the flow. */
interface Walk {
    readonly steps: FlowPathStep[];
    readonly computeIndexes: number[];
    readonly transferIndexes: number[];
}

class FlowSplitter {
    constructor(private readonly flow: LayeredFlow, private readonly negligible: number) {}

    split(): FlowPath[] {
        const paths: FlowPath[] = [];
        const maximumWalks = this.flow.computes.length + this.flow.transfers.length;
        for (let walks = 0; walks < maximumWalks; walks++) {
            const start = this.largestGroup(0, undefined);
            if (start === none) {
                break;
            }
            const walk: Walk = { steps: [], computeIndexes: [], transferIndexes: [] };
            const isWhole = this.walkFrom(start, walk);
            const rate = this.take(walk);
            if (isWhole) {
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

    /** The group with the most flow over a segment, in a location or in all; -1 when none is left. */
    private largestGroup(segment: number, location: number | undefined): number {
        let best = none;
        let bestFlow = this.negligible;
        this.flow.groupLocations.forEach((groupLocation, group) => {
            const flow = this.flow.computes[this.computeIndex(group, segment)]!;
            if (flow > bestFlow && (location === undefined || location === groupLocation)) {
                bestFlow = flow;
                best = group;
            }
        });
        return best;
    }

    /** Follows the flow to the last boundary, staying in each group as long as it goes. False if it breaks off. */
    private walkFrom(start: number, walk: Walk): boolean {
        let group = start;
        let first = 0;
        for (let segment = 0; segment < this.flow.segmentTotal; segment++) {
            walk.computeIndexes.push(this.computeIndex(group, segment));
            const boundary = segment + 1;
            if (boundary === this.flow.segmentTotal) {
                break;
            }
            const next = this.nextGroup(group, boundary, walk);
            if (next === none) {
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

    private nextGroup(group: number, boundary: number, walk: Walk): number {
        const from = this.flow.groupLocations[group]!;
        const stay = this.transferIndex(boundary, from, from);
        const goesOn = this.flow.computes[this.computeIndex(group, boundary)]! > this.negligible;
        if (this.flow.transfers[stay]! > this.negligible && goesOn) {
            walk.transferIndexes.push(stay);
            return group;
        }
        const others = Array.from({ length: this.flow.locationTotal }, (_unused, location) => location)
            .filter(location => location !== from);
        for (const to of [from, ...others]) {
            const transfer = this.transferIndex(boundary, from, to);
            const next = this.flow.transfers[transfer]! > this.negligible ? this.largestGroup(boundary, to) : none;
            if (next !== none) {
                walk.transferIndexes.push(transfer);
                return next;
            }
        }
        return none;
    }

    /** Takes the walk's flow, as much as its narrowest part carries. */
    private take({ computeIndexes, transferIndexes }: Walk): number {
        const { computes, transfers } = this.flow;
        const rate = Math.min(
            ...computeIndexes.map(index => computes[index]!),
            ...transferIndexes.map(index => transfers[index]!),
        );
        computeIndexes.forEach(index => computes[index]! -= rate);
        transferIndexes.forEach(index => transfers[index]! -= rate);
        return rate;
    }
}

/** Paths whose rates add up to the given flow, up to rounding. */
export function splitFlow(flow: LayeredFlow, tokensPerSecond: number): FlowPath[] {
    return new FlowSplitter(flow, tokensPerSecond * negligibleShare).split();
}
