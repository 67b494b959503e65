/**
 * The shortest path over a layered graph: from the first layer boundary to the last, through servers that may run any
 * sub-range of what they hold. Exact for the costs it is given.
 *
 * Along a pipeline the stages up to the last one that lacks the prefix in its cache must compute the prefix, since
 * each passes on only what it computes; the stages after that need not. A path therefore has two phases.
 */

/** Whether the stages from here on still compute the whole prefix, or only what no cache holds. */
export const Phase = { cached: 0, whole: 1 } as const;
export type Phase = typeof Phase[keyof typeof Phase];

/** A server with a range of boundaries it can lead over, and its costs. */
export interface SearchOption {
    readonly location: number;
    /** Indexes into the boundaries. */
    readonly firstBoundary: number;
    readonly endBoundary: number;
    /** Cost of taking the server into the path. */
    readonly entryCost: number;
    /** Cost of each layer in each phase; undefined for a phase that the server cannot be in. */
    readonly cachedLayerCost: number | undefined;
    readonly wholeLayerCost: number;
}

export interface SearchProblem {
    /** Layers at which the path may change servers. */
    readonly boundaries: readonly number[];
    readonly locationTotal: number;
    readonly options: readonly SearchOption[];
    /** Cost of reaching a location from the router. */
    startCost(location: number): number;
    /** Cost of moving from one location to another between two servers, of which the first is in the given phase. */
    linkCost(from: number, to: number, phase: Phase): number;
    /** Cost of the way back from the last server's location to the first's. */
    returnCost(from: number, to: number): number;
}

export interface PathStep {
    /** Index into the options. */
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
const none = -1;

/** A row of numbers that grows when needed and is used again by the next search. */
class Scratch<Row extends Float64Array | Int32Array> {
    constructor(public row: Row, private readonly create: (length: number) => Row) {}

    reserve(length: number): Row {
        if (this.row.length < length) {
            this.row = this.create(2 * length);
        }
        return this.row;
    }
}

function scratchNumbers(): Scratch<Float64Array> {
    return new Scratch(new Float64Array(0), length => new Float64Array(length));
}

function scratchIndexes(): Scratch<Int32Array> {
    return new Scratch(new Int32Array(0), length => new Int32Array(length));
}

const scratch = {
    arrivalCost: scratchNumbers(),
    arrivalOption: scratchIndexes(),
    arrivalEntry: scratchIndexes(),
    arrivalPrevious: scratchIndexes(),
    running: scratchNumbers(),
    entry: scratchIndexes(),
    previous: scratchIndexes(),
    reach: scratchNumbers(),
    reachedFrom: scratchIndexes(),
    links: scratchNumbers(),
};

/** How the cheapest arrival at a boundary, location and phase was made. */
interface Arrivals {
    readonly cost: Float64Array;
    readonly option: Int32Array;
    readonly entryBoundary: Int32Array;
    /** The arrival from which the option was entered, or -1 at the start. */
    readonly previous: Int32Array;
}

class Search {
    private readonly arrivals: Arrivals;
    private readonly arrivalTotal: number;
    private readonly stateTotal: number;
    private readonly runningTotal: number;
    /** For each segment, the options that can run it. */
    private readonly segmentOptions: readonly number[][];
    /** For each option and phase, the cheapest way of being in it at the present boundary. */
    private readonly running: Float64Array;
    private readonly entry: Int32Array;
    private readonly previous: Int32Array;
    /** For each location and phase, the cheapest way of getting there at the present boundary. */
    private readonly reach: Float64Array;
    private readonly reachedFrom: Int32Array;
    private readonly links: Float64Array;
    /** For each boundary, a cost that no path from there to the end falls short of. */
    private readonly leastRemaining: readonly number[];

    constructor(private readonly problem: SearchProblem) {
        const { boundaries, locationTotal, options } = problem;
        this.stateTotal = locationTotal * phaseTotal;
        this.arrivalTotal = boundaries.length * this.stateTotal;
        this.arrivals = {
            cost: scratch.arrivalCost.reserve(this.arrivalTotal),
            option: scratch.arrivalOption.reserve(this.arrivalTotal),
            entryBoundary: scratch.arrivalEntry.reserve(this.arrivalTotal),
            previous: scratch.arrivalPrevious.reserve(this.arrivalTotal),
        };
        this.runningTotal = options.length * phaseTotal;
        this.running = scratch.running.reserve(this.runningTotal);
        this.entry = scratch.entry.reserve(this.runningTotal);
        this.previous = scratch.previous.reserve(this.runningTotal);
        this.reach = scratch.reach.reserve(this.stateTotal);
        this.reachedFrom = scratch.reachedFrom.reserve(this.stateTotal);
        this.segmentOptions = boundaries.map(() => []);
        options.forEach((option, index) => {
            for (let segment = option.firstBoundary; segment < option.endBoundary; segment++) {
                this.segmentOptions[segment]!.push(index);
            }
        });
        this.links = this.tabulateLinks();
        this.leastRemaining = this.tabulateLeastRemaining();
    }

    /** The cheapest path, or undefined when the options leave a gap. */
    run(): SearchPath | undefined {
        let best: SearchPath | undefined;
        for (const first of this.startLocations()) {
            const limit = best?.cost ?? Number.POSITIVE_INFINITY;
            if (this.problem.startCost(first) < limit && this.searchFrom(first, limit)) {
                best = this.better(best, first);
            }
        }
        return best;
    }

    private tabulateLinks(): Float64Array {
        const { locationTotal } = this.problem;
        const links = scratch.links.reserve(locationTotal * locationTotal * phaseTotal);
        for (let from = 0; from < locationTotal; from++) {
            for (let to = 0; to < locationTotal; to++) {
                const index = (from * locationTotal + to) * phaseTotal;
                links[index] = this.problem.linkCost(from, to, Phase.cached);
                links[index + 1] = this.problem.linkCost(from, to, Phase.whole);
            }
        }
        return links;
    }

    private tabulateLeastRemaining(): number[] {
        const { boundaries, options } = this.problem;
        const remaining = boundaries.map(() => 0);
        for (let segment = boundaries.length - 2; segment >= 0; segment--) {
            let least = Number.POSITIVE_INFINITY;
            for (const index of this.segmentOptions[segment]!) {
                const { wholeLayerCost, cachedLayerCost } = options[index]!;
                least = Math.min(least, cachedLayerCost ?? wholeLayerCost, wholeLayerCost);
            }
            remaining[segment] = remaining[segment + 1]! + least * (boundaries[segment + 1]! - boundaries[segment]!);
        }
        return remaining;
    }

    private startLocations(): number[] {
        const locations = new Set<number>();
        for (const option of this.problem.options) {
            if (option.firstBoundary === 0) {
                locations.add(option.location);
            }
        }
        return [...locations].sort((left, right) => this.problem.startCost(left) - this.problem.startCost(right));
    }

    /** False when no path from this location can cost less than the limit. */
    private searchFrom(first: number, limit: number): boolean {
        const { boundaries } = this.problem;
        this.running.fill(Number.POSITIVE_INFINITY, 0, this.runningTotal);
        this.arrivals.cost.fill(Number.POSITIVE_INFINITY, 0, this.arrivalTotal);
        for (let boundary = 0; boundary + 1 < boundaries.length; boundary++) {
            this.findReach(boundary, first);
            const least = this.advance(boundary, boundaries[boundary + 1]! - boundaries[boundary]!);
            if (least + this.leastRemaining[boundary + 1]! >= limit) {
                return false;
            }
        }
        return true;
    }

    /** The cheapest way to each location and phase at a boundary. */
    private findReach(boundary: number, first: number): void {
        this.reach.fill(Number.POSITIVE_INFINITY, 0, this.stateTotal);
        if (boundary === 0) {
            const cost = this.problem.startCost(first);
            this.reach.fill(cost, first * phaseTotal, (first + 1) * phaseTotal);
            this.reachedFrom.fill(none, 0, this.stateTotal);
            return;
        }
        for (let from = 0; from < this.problem.locationTotal; from++) {
            const state = boundary * this.stateTotal + from * phaseTotal;
            this.spread(state + Phase.cached, from, Phase.cached, Phase.cached);
            this.spread(state + Phase.whole, from, Phase.whole, Phase.whole);
            this.spread(state + Phase.whole, from, Phase.whole, Phase.cached);
        }
    }

    /** Moves an arrival over the links; a path may change from the whole prefix to the cached phase, not back. */
    private spread(arrival: number, from: number, phase: Phase, nextPhase: Phase): void {
        const cost = this.arrivals.cost[arrival]!;
        if (cost === Number.POSITIVE_INFINITY) {
            return;
        }
        const { locationTotal } = this.problem;
        for (let to = 0; to < locationTotal; to++) {
            const reached = cost + this.links[(from * locationTotal + to) * phaseTotal + phase]!;
            const target = to * phaseTotal + nextPhase;
            if (reached < this.reach[target]!) {
                this.reach[target] = reached;
                this.reachedFrom[target] = arrival;
            }
        }
    }

    /** Enters options where that is cheaper, and takes all over the next segment. Gives the least cost of any. */
    private advance(boundary: number, layers: number): number {
        const { options } = this.problem;
        let least = Number.POSITIVE_INFINITY;
        for (const index of this.segmentOptions[boundary]!) {
            const option = options[index]!;
            if (option.cachedLayerCost !== undefined) {
                const cost = this.step(index, option, Phase.cached, boundary, option.cachedLayerCost * layers);
                least = Math.min(least, cost);
            }
            const cost = this.step(index, option, Phase.whole, boundary, option.wholeLayerCost * layers);
            least = Math.min(least, cost);
        }
        return least;
    }

    private step(index: number, option: SearchOption, phase: Phase, boundary: number, cost: number): number {
        const running = index * phaseTotal + phase;
        const reach = option.location * phaseTotal + phase;
        const entered = this.reach[reach]! + option.entryCost;
        if (entered < this.running[running]!) {
            this.running[running] = entered;
            this.entry[running] = boundary;
            this.previous[running] = this.reachedFrom[reach]!;
        }
        const total = this.running[running]! + cost;
        this.running[running] = total;
        const arrival = (boundary + 1) * this.stateTotal + reach;
        if (total < this.arrivals.cost[arrival]!) {
            this.arrivals.cost[arrival] = total;
            this.arrivals.option[arrival] = index;
            this.arrivals.entryBoundary[arrival] = this.entry[running]!;
            this.arrivals.previous[arrival] = this.previous[running]!;
        }
        return total;
    }

    private better(best: SearchPath | undefined, first: number): SearchPath | undefined {
        const last = (this.problem.boundaries.length - 1) * this.stateTotal;
        let bestArrival = none;
        let bestCost = best?.cost ?? Number.POSITIVE_INFINITY;
        for (let state = 0; state < this.stateTotal; state++) {
            const from = Math.floor(state / phaseTotal);
            const cost = this.arrivals.cost[last + state]! + this.problem.returnCost(from, first);
            if (cost < bestCost) {
                bestCost = cost;
                bestArrival = last + state;
            }
        }
        return bestArrival === none ? best : { cost: bestCost, steps: this.trace(bestArrival) };
    }

    private trace(last: number): PathStep[] {
        const steps: PathStep[] = [];
        for (let arrival = last; arrival !== none; arrival = this.arrivals.previous[arrival]!) {
            steps.push({
                option: this.arrivals.option[arrival]!,
                firstBoundary: this.arrivals.entryBoundary[arrival]!,
                endBoundary: Math.floor(arrival / this.stateTotal),
                phase: (arrival % phaseTotal) as Phase,
            });
        }
        return steps.reverse();
    }
}

/** The cheapest path through the problem, or undefined when the options leave a gap. */
export function findShortestPath(problem: SearchProblem): SearchPath | undefined {
    return new Search(problem).run();
}
