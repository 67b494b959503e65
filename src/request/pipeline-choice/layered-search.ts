/**
 * Shortest-path search over a layered graph, from the first layer boundary to the last. A server may run any sub-range
 * of the layers it holds. The result is optimal for the given costs.
 *
 * A stage can skip the cached prefix only if no later stage needs that prefix computed, because each stage forwards
 * activations only for the tokens it computes. The stages up to the last one without the cached prefix therefore
 * prefill the full prefix, and the stages after it only the rest. A path thus has two phases, full then cached.
 */

/** Prefill phase of a stage: `full` computes the whole prefix, `cached` only the tokens that are not cached. */
export const Phase = { cached: 0, full: 1 } as const;
export type Phase = typeof Phase[keyof typeof Phase];

/** A server that can run any sub-range between two boundaries, and its costs. */
export interface SearchOption {
    readonly location: number;
    /** Indexes into the problem's boundaries. */
    readonly firstBoundary: number;
    readonly endBoundary: number;
    /** Fixed cost of including the server in the path. */
    readonly entryCost: number;
    /** Cost per layer in the cached phase; undefined if the server does not hold the prefix. */
    readonly cachedLayerCost: number | undefined;
    /** Cost per layer in the full phase. */
    readonly fullLayerCost: number;
}

export interface SearchProblem {
    /** Layers at which the path may change servers, in ascending order. */
    readonly boundaries: readonly number[];
    readonly locationTotal: number;
    readonly options: readonly SearchOption[];
    /** Cost between the router and the location of the first server. */
    startCost(location: number): number;
    /** Cost of the transfer between consecutive servers; `phase` is the phase of the sending server. */
    linkCost(from: number, to: number, phase: Phase): number;
    /** Cost of returning generated tokens from the last server's location to the first server's. */
    returnCost(from: number, to: number): number;
}

export interface PathStep {
    /** Index into the problem's options. */
    readonly option: number;
    readonly firstBoundary: number;
    readonly endBoundary: number;
    readonly phase: Phase;
}

export interface SearchPath {
    readonly cost: number;
    readonly steps: readonly PathStep[];
}

const phaseTotal = 2;
const noArrival = -1;

/** A typed array that grows on demand and is reused across searches to avoid allocations. */
class ReusableBuffer<Values extends Float64Array | Int32Array> {
    constructor(public values: Values, private readonly create: (length: number) => Values) {}

    reserve(length: number): Values {
        if (this.values.length < length) {
            this.values = this.create(2 * length);
        }
        return this.values;
    }
}

function createFloatBuffer(): ReusableBuffer<Float64Array> {
    return new ReusableBuffer(new Float64Array(0), length => new Float64Array(length));
}

function createIndexBuffer(): ReusableBuffer<Int32Array> {
    return new ReusableBuffer(new Int32Array(0), length => new Int32Array(length));
}

const searchBuffers = {
    arrivalCost: createFloatBuffer(),
    arrivalOption: createIndexBuffer(),
    arrivalEntry: createIndexBuffer(),
    arrivalPrevious: createIndexBuffer(),
    stageCosts: createFloatBuffer(),
    stageEntry: createIndexBuffer(),
    stagePrevious: createIndexBuffer(),
    startCosts: createFloatBuffer(),
    startPrevious: createIndexBuffer(),
    linkCosts: createFloatBuffer(),
};

/** For each boundary, location and phase, the cheapest partial path that ends there. */
interface Arrivals {
    readonly cost: Float64Array;
    readonly option: Int32Array;
    readonly entryBoundary: Int32Array;
    /** Index of the arrival that precedes the last option's stage; -1 for the first stage. */
    readonly previous: Int32Array;
}

class ShortestPathSearch {
    private readonly arrivals: Arrivals;
    private readonly arrivalTotal: number;
    private readonly statesPerBoundary: number;
    private readonly stageStateTotal: number;
    /** For each segment between two adjacent boundaries, the options that can run it. */
    private readonly segmentOptions: readonly number[][];
    /** For each option and phase, the lowest cost of a path to the current boundary whose last stage is this option. */
    private readonly stageCosts: Float64Array;
    /** Boundary at which the last stage of that path starts. */
    private readonly stageEntry: Int32Array;
    /** Arrival that precedes the last stage of that path. */
    private readonly stagePrevious: Int32Array;
    /** For each location and phase, the lowest cost of starting a new stage there at the current boundary. */
    private readonly startCosts: Float64Array;
    private readonly startPrevious: Int32Array;
    private readonly linkCosts: Float64Array;
    /** For each boundary, a lower bound on the cost of the remaining path, for pruning. */
    private readonly remainingLowerBounds: readonly number[];

    constructor(private readonly problem: SearchProblem) {
        const { boundaries, locationTotal, options } = problem;
        this.statesPerBoundary = locationTotal * phaseTotal;
        this.arrivalTotal = boundaries.length * this.statesPerBoundary;
        this.arrivals = {
            cost: searchBuffers.arrivalCost.reserve(this.arrivalTotal),
            option: searchBuffers.arrivalOption.reserve(this.arrivalTotal),
            entryBoundary: searchBuffers.arrivalEntry.reserve(this.arrivalTotal),
            previous: searchBuffers.arrivalPrevious.reserve(this.arrivalTotal),
        };
        this.stageStateTotal = options.length * phaseTotal;
        this.stageCosts = searchBuffers.stageCosts.reserve(this.stageStateTotal);
        this.stageEntry = searchBuffers.stageEntry.reserve(this.stageStateTotal);
        this.stagePrevious = searchBuffers.stagePrevious.reserve(this.stageStateTotal);
        this.startCosts = searchBuffers.startCosts.reserve(this.statesPerBoundary);
        this.startPrevious = searchBuffers.startPrevious.reserve(this.statesPerBoundary);
        this.segmentOptions = boundaries.map(() => []);
        options.forEach((option, index) => {
            for (let segment = option.firstBoundary; segment < option.endBoundary; segment++) {
                this.segmentOptions[segment]!.push(index);
            }
        });
        this.linkCosts = this.computeLinkCosts();
        this.remainingLowerBounds = this.computeRemainingLowerBounds();
    }

    /** Searches once for each location of the first server, since the return cost depends on it. */
    run(): SearchPath | undefined {
        let best: SearchPath | undefined;
        for (const first of this.sortedStartLocations()) {
            const limit = best?.cost ?? Number.POSITIVE_INFINITY;
            if (this.problem.startCost(first) < limit && this.searchFrom(first, limit)) {
                best = this.cheaperPath(best, first);
            }
        }
        return best;
    }

    private computeLinkCosts(): Float64Array {
        const { locationTotal } = this.problem;
        const linkCosts = searchBuffers.linkCosts.reserve(locationTotal * locationTotal * phaseTotal);
        for (let from = 0; from < locationTotal; from++) {
            for (let to = 0; to < locationTotal; to++) {
                const index = (from * locationTotal + to) * phaseTotal;
                linkCosts[index] = this.problem.linkCost(from, to, Phase.cached);
                linkCosts[index + 1] = this.problem.linkCost(from, to, Phase.full);
            }
        }
        return linkCosts;
    }

    private computeRemainingLowerBounds(): number[] {
        const { boundaries, options } = this.problem;
        const remaining = boundaries.map(() => 0);
        for (let segment = boundaries.length - 2; segment >= 0; segment--) {
            let lowestCost = Number.POSITIVE_INFINITY;
            for (const index of this.segmentOptions[segment]!) {
                const { fullLayerCost, cachedLayerCost } = options[index]!;
                lowestCost = Math.min(lowestCost, cachedLayerCost ?? fullLayerCost, fullLayerCost);
            }
            remaining[segment] = remaining[segment + 1]!
                + lowestCost * (boundaries[segment + 1]! - boundaries[segment]!);
        }
        return remaining;
    }

    /** Locations of the options for the first layer, cheapest to reach first. */
    private sortedStartLocations(): number[] {
        const locations = new Set<number>();
        for (const option of this.problem.options) {
            if (option.firstBoundary === 0) {
                locations.add(option.location);
            }
        }
        return [...locations].sort((left, right) => this.problem.startCost(left) - this.problem.startCost(right));
    }

    /** Fills the arrivals for paths from location `first`. Returns false if none of them can cost less than `limit`. */
    private searchFrom(first: number, limit: number): boolean {
        const { boundaries } = this.problem;
        this.stageCosts.fill(Number.POSITIVE_INFINITY, 0, this.stageStateTotal);
        this.arrivals.cost.fill(Number.POSITIVE_INFINITY, 0, this.arrivalTotal);
        for (let boundary = 0; boundary + 1 < boundaries.length; boundary++) {
            this.computeStartCosts(boundary, first);
            const lowestCost = this.crossSegment(boundary, boundaries[boundary + 1]! - boundaries[boundary]!);
            if (lowestCost + this.remainingLowerBounds[boundary + 1]! >= limit) {
                return false;
            }
        }
        return true;
    }

    /** Computes the lowest cost of starting a stage at the boundary, for each location and phase. */
    private computeStartCosts(boundary: number, first: number): void {
        this.startCosts.fill(Number.POSITIVE_INFINITY, 0, this.statesPerBoundary);
        if (boundary === 0) {
            const cost = this.problem.startCost(first);
            this.startCosts.fill(cost, first * phaseTotal, (first + 1) * phaseTotal);
            this.startPrevious.fill(noArrival, 0, this.statesPerBoundary);
            return;
        }
        for (let from = 0; from < this.problem.locationTotal; from++) {
            const state = boundary * this.statesPerBoundary + from * phaseTotal;
            this.relaxLinks(state + Phase.cached, from, Phase.cached, Phase.cached);
            this.relaxLinks(state + Phase.full, from, Phase.full, Phase.full);
            this.relaxLinks(state + Phase.full, from, Phase.full, Phase.cached);
        }
    }

    /** Relaxes the links from an arrival. A path may change from the full to the cached phase, but not back. */
    private relaxLinks(arrival: number, from: number, phase: Phase, nextPhase: Phase): void {
        const cost = this.arrivals.cost[arrival]!;
        if (cost === Number.POSITIVE_INFINITY) {
            return;
        }
        const { locationTotal } = this.problem;
        for (let to = 0; to < locationTotal; to++) {
            const totalCost = cost + this.linkCosts[(from * locationTotal + to) * phaseTotal + phase]!;
            const target = to * phaseTotal + nextPhase;
            if (totalCost < this.startCosts[target]!) {
                this.startCosts[target] = totalCost;
                this.startPrevious[target] = arrival;
            }
        }
    }

    /**
     * Extends every option over the next segment, as a new stage where that is cheaper than continuing its stage.
     * Returns the lowest cost.
     */
    private crossSegment(boundary: number, layers: number): number {
        const { options } = this.problem;
        let lowestCost = Number.POSITIVE_INFINITY;
        for (const index of this.segmentOptions[boundary]!) {
            const option = options[index]!;
            if (option.cachedLayerCost !== undefined) {
                const cost = this.extendStage(index, option, Phase.cached, boundary, option.cachedLayerCost * layers);
                lowestCost = Math.min(lowestCost, cost);
            }
            const cost = this.extendStage(index, option, Phase.full, boundary, option.fullLayerCost * layers);
            lowestCost = Math.min(lowestCost, cost);
        }
        return lowestCost;
    }

    private extendStage(
        index: number,
        option: SearchOption,
        phase: Phase,
        boundary: number,
        segmentCost: number,
    ): number {
        const stage = index * phaseTotal + phase;
        const state = option.location * phaseTotal + phase;
        const costAfterEntry = this.startCosts[state]! + option.entryCost;
        if (costAfterEntry < this.stageCosts[stage]!) {
            this.stageCosts[stage] = costAfterEntry;
            this.stageEntry[stage] = boundary;
            this.stagePrevious[stage] = this.startPrevious[state]!;
        }
        const totalCost = this.stageCosts[stage]! + segmentCost;
        this.stageCosts[stage] = totalCost;
        const arrival = (boundary + 1) * this.statesPerBoundary + state;
        if (totalCost < this.arrivals.cost[arrival]!) {
            this.arrivals.cost[arrival] = totalCost;
            this.arrivals.option[arrival] = index;
            this.arrivals.entryBoundary[arrival] = this.stageEntry[stage]!;
            this.arrivals.previous[arrival] = this.stagePrevious[stage]!;
        }
        return totalCost;
    }

    /** Returns the cheaper of `best` and the cheapest path that the search from `first` found. */
    private cheaperPath(best: SearchPath | undefined, first: number): SearchPath | undefined {
        const last = (this.problem.boundaries.length - 1) * this.statesPerBoundary;
        let bestArrival = noArrival;
        let bestCost = best?.cost ?? Number.POSITIVE_INFINITY;
        for (let state = 0; state < this.statesPerBoundary; state++) {
            const endLocation = Math.floor(state / phaseTotal);
            const cost = this.arrivals.cost[last + state]! + this.problem.returnCost(endLocation, first);
            if (cost < bestCost) {
                bestCost = cost;
                bestArrival = last + state;
            }
        }
        return bestArrival === noArrival ? best : { cost: bestCost, steps: this.reconstructPath(bestArrival) };
    }

    private reconstructPath(last: number): PathStep[] {
        const steps: PathStep[] = [];
        for (let arrival = last; arrival !== noArrival; arrival = this.arrivals.previous[arrival]!) {
            steps.push({
                option: this.arrivals.option[arrival]!,
                firstBoundary: this.arrivals.entryBoundary[arrival]!,
                endBoundary: Math.floor(arrival / this.statesPerBoundary),
                phase: (arrival % phaseTotal) as Phase,
            });
        }
        return steps.reverse();
    }
}

/** Finds the cheapest path from the first boundary to the last; undefined if the options do not cover all layers. */
export function findShortestPath(problem: SearchProblem): SearchPath | undefined {
    return new ShortestPathSearch(problem).run();
}
