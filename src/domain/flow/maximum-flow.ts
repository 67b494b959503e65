/** Maximum flow through a directed graph with capacities, by Dinic's algorithm. Pure, and without a limit on size. */

const tolerance = 1e-9;

/** A flow network. Vertices are numbered from 0. */
export class MaximumFlow {
    /** Edge index + 1 of the first edge that leaves each vertex; 0 for none. */
    private readonly firstEdge: Int32Array;
    private readonly nextEdge: number[] = [];
    private readonly target: number[] = [];
    private readonly residual: number[] = [];
    private readonly capacities: number[] = [];
    private readonly level: Int32Array;
    private readonly cursor: Int32Array;

    constructor(private readonly vertexTotal: number) {
        this.firstEdge = new Int32Array(vertexTotal);
        this.level = new Int32Array(vertexTotal);
        this.cursor = new Int32Array(vertexTotal);
    }

    /** Adds an edge and gives its number, for `flowOn` and `setCapacity`. */
    addEdge(from: number, to: number, capacity: number): number {
        const edge = this.target.length;
        this.append(from, to, capacity);
        this.append(to, from, 0);
        this.capacities.push(capacity, 0);
        return edge;
    }

    /** Changes an edge's capacity; takes effect with the next call of `solve`. */
    setCapacity(edge: number, capacity: number): void {
        this.capacities[edge] = capacity;
    }

    /** Computes the largest flow from the source to the sink, anew with each call. */
    solve(source: number, sink: number): number {
        const steps = this.solveInSteps(source, sink);
        let step = steps.next();
        while (step.done !== true) {
            step = steps.next();
        }
        return step.value;
    }

    /** Like `solve`, with a `yield` before each round and each path, so that a caller can let other work run. */
    *solveInSteps(source: number, sink: number): Generator<void, number> {
        this.capacities.forEach((capacity, edge) => this.residual[edge] = capacity);
        let total = 0;
        while (this.buildLevels(source, sink)) {
            this.cursor.set(this.firstEdge);
            yield;
            let pushed = this.push(source, sink, Number.POSITIVE_INFINITY);
            while (pushed > tolerance) {
                total += pushed;
                yield;
                pushed = this.push(source, sink, Number.POSITIVE_INFINITY);
            }
        }
        return total;
    }

    /** The flow on an edge in the last solution. */
    flowOn(edge: number): number {
        return this.capacities[edge]! - this.residual[edge]!;
    }

    /** Whether a vertex is on the source's side of the minimum cut of the last solution. */
    isOnSourceSide(vertex: number): boolean {
        return this.level[vertex]! >= 0;
    }

    private append(from: number, to: number, capacity: number): void {
        this.target.push(to);
        this.residual.push(capacity);
        this.nextEdge.push(this.firstEdge[from]!);
        this.firstEdge[from] = this.target.length;
    }

    private buildLevels(source: number, sink: number): boolean {
        this.level.fill(-1);
        this.level[source] = 0;
        const queue = new Int32Array(this.vertexTotal);
        queue[0] = source;
        let length = 1;
        for (let index = 0; index < length; index++) {
            const vertex = queue[index]!;
            for (let link = this.firstEdge[vertex]!; link > 0; link = this.nextEdge[link - 1]!) {
                const next = this.target[link - 1]!;
                if (this.residual[link - 1]! > tolerance && this.level[next]! < 0) {
                    this.level[next] = this.level[vertex]! + 1;
                    queue[length++] = next;
                }
            }
        }
        return this.level[sink]! >= 0;
    }

    /** Pushes flow along one path of rising levels; gives the amount. */
    private push(vertex: number, sink: number, limit: number): number {
        if (vertex === sink) {
            return limit;
        }
        while (this.cursor[vertex]! > 0) {
            const edge = this.cursor[vertex]! - 1;
            const next = this.target[edge]!;
            if (this.residual[edge]! > tolerance && this.level[next] === this.level[vertex]! + 1) {
                const pushed = this.push(next, sink, Math.min(limit, this.residual[edge]!));
                if (pushed > tolerance) {
                    this.residual[edge]! -= pushed;
                    this.residual[edge ^ 1]! += pushed;
                    return pushed;
                }
            }
            this.cursor[vertex] = this.nextEdge[edge]!;
        }
        return 0;
    }
}
