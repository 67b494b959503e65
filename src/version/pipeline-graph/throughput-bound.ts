/**
 * Computes the throughput bound of a layered graph: the maximum flow from the first layer boundary to the last. A
 * backend server may run any sub-range of the layers it holds, and a link may carry activations at every boundary, so
 * several edges share one capacity. The flow is therefore solved as a linear program, which is exact for any mix of
 * layer ranges.
 */
import { decomposeFlow, type LayeredFlow } from "./flow-paths.js";
import { type LinearProgram, maximize } from "./linear-program.js";
import type { ServerGroup, ThroughputBound } from "./types.js";

export interface ThroughputBoundInput {
    /**
     * Layer boundaries in ascending order, from 0 to the number of layers. Every group's range starts and
     * ends at a boundary.
     */
    readonly boundaries: readonly number[];
    readonly groups: readonly ServerGroup[];
    readonly locationTotal: number;
    /** Size of one token's activations, in bytes. */
    readonly activationBytes: number;
    /** Bandwidth of the link between two locations, given by their indexes, in bytes per second. */
    bytesPerSecond(from: number, to: number): number;
}

/**
 * Unit of the limits of the conservation rows. Each row has a different small multiple, which prevents ties in the
 * ratio test: with limits of exactly 0 the simplex method can cycle.
 */
const perturbation = 1e-9;

/**
 * Cost in the objective, in tokens, of transferring one token to another location. Among splits of equal throughput
 * the solver then selects the one with the fewest such transfers, so that the loss of a location breaks the fewest
 * pipelines.
 */
const remoteTransferPenalty = 1e-5;

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

/** Builds the linear program of a throughput bound. */
class FlowProgram {
    readonly computeVariables: ComputeVariable[] = [];
    readonly transferVariables: TransferVariable[] = [];
    private readonly segmentTotal: number;
    /** Tokens per second for one unit of the program's variables; this scaling keeps the coefficients near 1. */
    readonly rateUnit: number;
    private readonly rows: Float64Array[] = [];
    private readonly limits: number[] = [];

    constructor(private readonly input: ThroughputBoundInput) {
        this.segmentTotal = input.boundaries.length - 1;
        const capacity = input.groups.reduce((sum, group) => sum + group.layerTokensPerSecond, 0);
        this.rateUnit = Math.max(capacity / Math.max(1, input.boundaries[this.segmentTotal]!), Number.MIN_VALUE);
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
            ...this.computeVariables.map(variable => variable.segment === this.segmentTotal - 1 ? 1 : 0),
            ...this.transferVariables.map(({ from, to }) => from === to ? 0 : -remoteTransferPenalty),
        ];
        return { objective, rows: this.rows, limits: this.limits };
    }

    private addComputeVariables(): void {
        this.input.groups.forEach((group, index) => {
            for (let segment = 0; segment < this.segmentTotal; segment++) {
                const holdsSegment = group.layers.first <= this.input.boundaries[segment]!
                    && this.input.boundaries[segment + 1]! <= group.layers.last + 1;
                if (holdsSegment) {
                    this.computeVariables.push({ group: index, segment });
                }
            }
        });
    }

    private addTransferVariables(): void {
        for (let boundary = 1; boundary < this.segmentTotal; boundary++) {
            for (let from = 0; from < this.input.locationTotal; from++) {
                for (let to = 0; to < this.input.locationTotal; to++) {
                    this.transferVariables.push({ boundary, from, to });
                }
            }
        }
    }

    /** Adds one row. `compute` and `transfer` return the coefficient of each variable in the row. */
    private addRow(
        compute: (variable: ComputeVariable) => number,
        transfer: (variable: TransferVariable) => number,
        limit: number,
    ): void {
        const row = new Float64Array(this.computeVariables.length + this.transferVariables.length);
        this.computeVariables.forEach((variable, index) => row[index] = compute(variable));
        this.transferVariables.forEach((variable, index) =>
            row[this.computeVariables.length + index] = transfer(variable)
        );
        this.rows.push(row);
        this.limits.push(limit);
    }

    private addGroupRows(): void {
        this.input.groups.forEach((group, index) => {
            const scale = this.rateUnit / Math.max(group.layerTokensPerSecond, Number.MIN_VALUE);
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
                const scale = this.rateUnit * this.input.activationBytes / this.input.bytesPerSecond(from, to);
                if (from !== to && Number.isFinite(scale)) {
                    this.addRow(() => 0, variable => variable.from === from && variable.to === to ? scale : 0, 1);
                }
            }
        }
    }

    /**
     * Conserves the flow at one boundary and location: the flow computed in the segment after the boundary is at most
     * the flow transferred to the location, and the flow transferred from it is at most the flow computed in the
     * segment before.
     */
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

/** Computes the throughput bound and one split of the load that attains it. */
export function computeThroughputBound(input: ThroughputBoundInput): ThroughputBound {
    const program = new FlowProgram(input);
    const linearProgram = program.build();
    const solution = maximize(linearProgram);
    // Largest flow that the perturbed limits alone can permit, in units of the variables; a total up to it counts as 0.
    const perturbationFlow = perturbation * linearProgram.rows.length ** 2;
    const groupLayerTokensPerSecond = input.groups.map(() => 0);
    const flow = createEmptyFlow(input);
    let total = 0;
    program.computeVariables.forEach(({ group, segment }, index) => {
        const tokens = solution.variables[index]! * program.rateUnit;
        total += segment === flow.segmentTotal - 1 ? tokens : 0;
        groupLayerTokensPerSecond[group]! += tokens * program.segmentLayers(segment);
        flow.computeFlows[group * flow.segmentTotal + segment] = tokens;
    });
    const linkBytesPerSecond = new Float64Array(input.locationTotal * input.locationTotal);
    program.transferVariables.forEach(({ boundary, from, to }, index) => {
        const tokens = solution.variables[program.computeVariables.length + index]! * program.rateUnit;
        flow.transferFlows[(boundary * input.locationTotal + from) * input.locationTotal + to] = tokens;
        if (from !== to) {
            linkBytesPerSecond[from * input.locationTotal + to]! += tokens * input.activationBytes;
        }
    });
    const tokensPerSecond = total > perturbationFlow * program.rateUnit ? total : 0;
    return {
        tokensPerSecond,
        groupLayerTokensPerSecond,
        linkBytesPerSecond,
        paths: decomposeFlow(flow, tokensPerSecond),
    };
}

function createEmptyFlow({ boundaries, groups, locationTotal }: ThroughputBoundInput): LayeredFlow {
    const segmentTotal = boundaries.length - 1;
    return {
        segmentTotal,
        locationTotal,
        groupLocations: groups.map(group => group.location),
        computeFlows: new Float64Array(groups.length * segmentTotal),
        transferFlows: new Float64Array(boundaries.length * locationTotal * locationTotal),
    };
}
