/**
 * The throughput bound of a layered graph: a maximum flow from the first layer boundary to the last. A backend server
 * may run any sub-range of what it holds, and a link serves every boundary, so capacities are shared between edges;
 * the flow is therefore solved as a linear program, which is exact for any mix of ranges.
 */
import { type LayeredFlow, splitFlow } from "./flow-paths.js";
import { type LinearProgram, maximize } from "./linear-program.js";
import type { ServerGroup, ThroughputBound } from "./types.js";

export interface ThroughputBoundInput {
    /** Ascending, from 0 to the number of layers; every range of a group starts and ends at one. */
    readonly boundaries: readonly number[];
    readonly groups: readonly ServerGroup[];
    readonly locationTotal: number;
    /** Activations for one token, in bytes. */
    readonly activationBytes: number;
    /** Bytes a second from one location to another. */
    bytesPerSecond(from: number, to: number): number;
}

/**
 * Tiny slack on the conservation rows, so that they do not tie in the ratio test: with exact zeros the simplex
 * method can cycle.
 */
const perturbation = 1e-9;

/**
 * What a token's move to another location costs in the objective, in tokens: among equal splits it finds the one that
 * crosses least, so that the loss of a location breaks the fewest pipelines.
 */
const crossingPenalty = 1e-5;

interface ComputeVariable {
    readonly group: number;
    readonly segment: number;
}

interface TransferVariable {
    /** Index of the boundary at which the activations change location. */
    readonly boundary: number;
    readonly from: number;
    readonly to: number;
}

/** Builds the program's variables and rows. */
class FlowProgram {
    readonly computes: ComputeVariable[] = [];
    readonly transfers: TransferVariable[] = [];
    private readonly segmentTotal: number;
    /** Rates are in units of this many tokens a second, which keeps the coefficients near 1. */
    readonly unit: number;
    private readonly rows: Float64Array[] = [];
    private readonly limits: number[] = [];

    constructor(private readonly input: ThroughputBoundInput) {
        this.segmentTotal = input.boundaries.length - 1;
        const capacity = input.groups.reduce((sum, group) => sum + group.layerTokensPerSecond, 0);
        this.unit = Math.max(capacity / Math.max(1, input.boundaries[this.segmentTotal]!), Number.MIN_VALUE);
        this.addComputeVariables();
        this.addTransferVariables();
    }

    segmentLayers(segment: number): number {
        return this.input.boundaries[segment + 1]! - this.input.boundaries[segment]!;
    }

    build(): LinearProgram {
        this.addGroupRows();
        this.addLinkRows();
        for (let boundary = 1; boundary < this.segmentTotal; boundary++) {
            for (let location = 0; location < this.input.locationTotal; location++) {
                this.addConservationRows(boundary, location);
            }
        }
        const objective = [
            ...this.computes.map(variable => variable.segment === this.segmentTotal - 1 ? 1 : 0),
            ...this.transfers.map(({ from, to }) => from === to ? 0 : -crossingPenalty),
        ];
        return { objective, rows: this.rows, limits: this.limits };
    }

    private addComputeVariables(): void {
        this.input.groups.forEach((group, index) => {
            for (let segment = 0; segment < this.segmentTotal; segment++) {
                const inside = group.layers.first <= this.input.boundaries[segment]!
                    && this.input.boundaries[segment + 1]! <= group.layers.last + 1;
                if (inside) {
                    this.computes.push({ group: index, segment });
                }
            }
        });
    }

    private addTransferVariables(): void {
        for (let boundary = 1; boundary < this.segmentTotal; boundary++) {
            for (let from = 0; from < this.input.locationTotal; from++) {
                for (let to = 0; to < this.input.locationTotal; to++) {
                    this.transfers.push({ boundary, from, to });
                }
            }
        }
    }

    /** Adds one row from the coefficients of the variables that take part in it. */
    private addRow(
        compute: (variable: ComputeVariable) => number,
        transfer: (variable: TransferVariable) => number,
        limit: number,
    ): void {
        const row = new Float64Array(this.computes.length + this.transfers.length);
        this.computes.forEach((variable, index) => row[index] = compute(variable));
        this.transfers.forEach((variable, index) => row[this.computes.length + index] = transfer(variable));
        this.rows.push(row);
        this.limits.push(limit);
    }

    private addGroupRows(): void {
        this.input.groups.forEach((group, index) => {
            const scale = this.unit / Math.max(group.layerTokensPerSecond, Number.MIN_VALUE);
            this.addRow(
                variable => variable.group === index ? this.segmentLayers(variable.segment) * scale : 0,
                () => 0,
                1,
            );
        });
    }

    private addLinkRows(): void {
        for (let from = 0; from < this.input.locationTotal; from++) {
            for (let to = 0; to < this.input.locationTotal; to++) {
                const scale = this.unit * this.input.activationBytes / this.input.bytesPerSecond(from, to);
                if (from !== to && Number.isFinite(scale)) {
                    this.addRow(() => 0, variable => variable.from === from && variable.to === to ? scale : 0, 1);
                }
            }
        }
    }

    /** What leaves a boundary in a location was moved there; what is moved had been computed there. */
    private addConservationRows(boundary: number, location: number): void {
        const locationOf = (variable: ComputeVariable) => this.input.groups[variable.group]!.location;
        this.addRow(
            variable => variable.segment === boundary && locationOf(variable) === location ? 1 : 0,
            variable => variable.boundary === boundary && variable.to === location ? -1 : 0,
            perturbation * (1 + this.rows.length),
        );
        this.addRow(
            variable => variable.segment === boundary - 1 && locationOf(variable) === location ? -1 : 0,
            variable => variable.boundary === boundary && variable.from === location ? 1 : 0,
            perturbation * (1 + this.rows.length),
        );
    }
}

/** Computes the bound and one split of the load that reaches it. */
export function computeThroughputBound(input: ThroughputBoundInput): ThroughputBound {
    const program = new FlowProgram(input);
    const linearProgram = program.build();
    const solution = maximize(linearProgram);
    const slack = perturbation * linearProgram.rows.length ** 2;
    const groupLayerTokens = input.groups.map(() => 0);
    const flow = emptyFlow(input);
    let total = 0;
    program.computes.forEach(({ group, segment }, index) => {
        const tokens = solution.variables[index]! * program.unit;
        total += segment === flow.segmentTotal - 1 ? tokens : 0;
        groupLayerTokens[group]! += tokens * program.segmentLayers(segment);
        flow.computes[group * flow.segmentTotal + segment] = tokens;
    });
    const linkBytes = new Float64Array(input.locationTotal * input.locationTotal);
    program.transfers.forEach(({ boundary, from, to }, index) => {
        const tokens = solution.variables[program.computes.length + index]! * program.unit;
        flow.transfers[(boundary * input.locationTotal + from) * input.locationTotal + to] = tokens;
        if (from !== to) {
            linkBytes[from * input.locationTotal + to]! += tokens * input.activationBytes;
        }
    });
    const tokensPerSecond = total > slack * program.unit ? total : 0;
    return {
        tokensPerSecond,
        groupLayerTokensPerSecond: groupLayerTokens,
        linkBytes,
        paths: splitFlow(flow, tokensPerSecond),
    };
}

function emptyFlow({ boundaries, groups, locationTotal }: ThroughputBoundInput): LayeredFlow {
    const segmentTotal = boundaries.length - 1;
    return {
        segmentTotal,
        locationTotal,
        groupLocations: groups.map(group => group.location),
        computes: new Float64Array(groups.length * segmentTotal),
        transfers: new Float64Array(boundaries.length * locationTotal * locationTotal),
    };
}
