/** Computes maximum flows in directed graphs by Dinic's algorithm. The size of the graph is not limited. */

/** Flows and residual capacities up to this amount count as zero. */
const tolerance = 1e-9;

/**
 * A flow network. Vertices are numbered from 0. Each edge is stored with its reverse edge, whose index differs only in
 * the lowest bit.
 */
export class MaximumFlow {
    /** Index + 1 of the first edge that leaves each vertex; 0 if there is none. */
    private readonly firstEdge: Int32Array;
    /** By edge: index + 1 of the next edge that leaves the same vertex; 0 if there is none. */
    private readonly nextEdge: number[] = [];
    /** By edge: the vertex to which it leads. */
    private readonly target: number[] = [];
    private readonly residualCapacities: number[] = [];
    private readonly capacities: number[] = [];
    /** By vertex: number of edges from the source in the residual network; -1 if unreachable. */
    private readonly level: Int32Array;
    /** By vertex: index + 1 of the first edge that may still carry flow in the current level graph. */
    private readonly currentEdge: Int32Array;

    constructor(private readonly vertexCount: number) {
        this.firstEdge = new Int32Array(vertexCount);
        this.level = new Int32Array(vertexCount);
        this.currentEdge = new Int32Array(vertexCount);
    }

    /** Adds an edge and returns its index, for `flowOn` and `setCapacity`. */
    addEdge(from: number, to: number, capacity: number): number {
        const edge = this.target.length;
        this.appendEdge(from, to, capacity);
        this.appendEdge(to, from, 0);
        this.capacities.push(capacity, 0);
        return edge;
    }

    /** Changes an edge's capacity; takes effect at the next call of `solve` or `solveInSteps`. */
    setCapacity(edge: number, capacity: number): void {
        this.capacities[edge] = capacity;
    }

    /** Computes the maximum flow from the source to the sink. Each call starts from zero flow. */
    solve(source: number, sink: number): number {
        const steps = this.solveInSteps(source, sink);
        let step = steps.next();
        while (step.done !== true) {
            step = steps.next();
        }
        return step.value;
    }

    /**
     * Like `solve`, but yields after each level graph and each augmenting path, so that the caller can let other tasks
     * run.
     */
    *solveInSteps(source: number, sink: number): Generator<void, number> {
        this.capacities.forEach((capacity, edge) => this.residualCapacities[edge] = capacity);
        let total = 0;
        while (this.buildLevels(source, sink)) {
            this.currentEdge.set(this.firstEdge);
            yield;
            let pushed = this.pushFlow(source, sink, Number.POSITIVE_INFINITY);
            while (pushed > tolerance) {
                total += pushed;
                yield;
                pushed = this.pushFlow(source, sink, Number.POSITIVE_INFINITY);
            }
        }
        return total;
    }

    /** The flow over an edge in the last solution. */
    flowOn(edge: number): number {
        return this.capacities[edge]! - this.residualCapacities[edge]!;
    }

    /** Whether a vertex is on the source side of the minimum cut of the last solution. */
    isOnSourceSide(vertex: number): boolean {
        return this.level[vertex]! >= 0;
    }

    private appendEdge(from: number, to: number, capacity: number): void {
        this.target.push(to);
        this.residualCapacities.push(capacity);
        this.nextEdge.push(this.firstEdge[from]!);
        this.firstEdge[from] = this.target.length;
    }

    private buildLevels(source: number, sink: number): boolean {
        this.level.fill(-1);
        this.level[source] = 0;
        const queue = new Int32Array(this.vertexCount);
        queue[0] = source;
        let queueLength = 1;
        for (let index = 0; index < queueLength; index++) {
            const vertex = queue[index]!;
            for (
                let edgePlusOne = this.firstEdge[vertex]!;
                edgePlusOne > 0;
                edgePlusOne = this.nextEdge[edgePlusOne - 1]!
            ) {
                const next = this.target[edgePlusOne - 1]!;
                if (this.residualCapacities[edgePlusOne - 1]! > tolerance && this.level[next]! < 0) {
                    this.level[next] = this.level[vertex]! + 1;
                    queue[queueLength++] = next;
                }
            }
        }
        return this.level[sink]! >= 0;
    }

    /** Sends flow along one path of increasing levels. Returns the amount, or 0 if there is no such path. */
    private pushFlow(vertex: number, sink: number, limit: number): number {
        if (vertex === sink) {
            return limit;
        }
        while (this.currentEdge[vertex]! > 0) {
            const edge = this.currentEdge[vertex]! - 1;
            const next = this.target[edge]!;
            if (this.residualCapacities[edge]! > tolerance && this.level[next] === this.level[vertex]! + 1) {
                const pushed = this.pushFlow(next, sink, Math.min(limit, this.residualCapacities[edge]!));
                if (pushed > tolerance) {
                    this.residualCapacities[edge]! -= pushed;
                    this.residualCapacities[edge ^ 1]! += pushed;
                    return pushed;
                }
            }
            this.currentEdge[vertex] = this.nextEdge[edge]!;
        }
        return 0;
    }
}
