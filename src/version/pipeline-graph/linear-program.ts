/**
 * Linear-program solver: primal simplex on a condensed tableau. The limits must not be negative, so that the origin is
 * feasible. Maximum flow with capacities shared by several edges is such a program.
 */
import { InternalError } from "../../errors/index.js";

/** Maximize objective * x subject to rows * x <= limits and x >= 0. */
export interface LinearProgram {
    readonly objective: readonly number[];
    readonly rows: readonly Float64Array[];
    /** One limit for each row, none negative. */
    readonly limits: readonly number[];
}

export interface LinearSolution {
    readonly value: number;
    readonly variables: Float64Array;
    /** Increase of the value for each additional unit of a row's limit (dual variables). */
    readonly shadowPrices: Float64Array;
}

/** Coefficients up to this size are treated as 0. */
const tolerance = 1e-9;
const maximumPivots = 50_000;

/**
 * Solves the program. Throws InternalError if it is unbounded, which cannot happen for a flow over finite capacities,
 * or if the solver reaches its pivot limit.
 */
export function maximize(program: LinearProgram): LinearSolution {
    const tableau = new Tableau(program);
    for (let pivots = 0; pivots < maximumPivots; pivots++) {
        const column = tableau.enteringColumn();
        if (column < 0) {
            return tableau.solution();
        }
        tableau.pivot(tableau.leavingRow(column), column);
    }
    throw new InternalError("The linear program was not solved within the pivot limit.");
}

class Tableau {
    private readonly rowTotal: number;
    private readonly columnTotal: number;
    /** The constraint rows followed by the objective row. The last column holds the limits. */
    private readonly cells: Float64Array[];
    /** Basic variable of each row. Variables from columnTotal on are slack variables. */
    private readonly basic: number[];
    /** Nonbasic variable of each column. */
    private readonly nonbasic: number[];

    constructor(program: LinearProgram) {
        this.rowTotal = program.rows.length;
        this.columnTotal = program.objective.length;
        this.cells = program.rows.map((row, index) => this.withLimit(row, program.limits[index] ?? 0));
        this.cells.push(this.withLimit(Float64Array.from(program.objective, value => -value), 0));
        this.basic = Array.from({ length: this.rowTotal }, (_unused, index) => this.columnTotal + index);
        this.nonbasic = Array.from({ length: this.columnTotal }, (_unused, index) => index);
    }

    private withLimit(row: Float64Array, limit: number): Float64Array {
        const cells = new Float64Array(this.columnTotal + 1);
        cells.set(row);
        cells[this.columnTotal] = limit;
        return cells;
    }

    /** Returns the column with the most negative objective coefficient, or -1 at the optimum. */
    enteringColumn(): number {
        const objective = this.cells[this.rowTotal]!;
        let best = -1;
        let bestValue = -tolerance;
        for (let column = 0; column < this.columnTotal; column++) {
            if (objective[column]! < bestValue) {
                bestValue = objective[column]!;
                best = column;
            }
        }
        return best;
    }

    /**
     * Returns the row with the smallest ratio of limit to coefficient in the column. Throws InternalError if no
     * coefficient is positive.
     */
    leavingRow(column: number): number {
        let best = -1;
        let bestRatio = Number.POSITIVE_INFINITY;
        for (let row = 0; row < this.rowTotal; row++) {
            const cells = this.cells[row]!;
            if (cells[column]! > tolerance) {
                const ratio = cells[this.columnTotal]! / cells[column]!;
                if (ratio < bestRatio) {
                    bestRatio = ratio;
                    best = row;
                }
            }
        }
        if (best < 0) {
            throw new InternalError("The linear program is unbounded.");
        }
        return best;
    }

    /** Exchanges the basic variable of the row with the nonbasic variable of the column. */
    pivot(pivotRow: number, pivotColumn: number): void {
        const source = this.cells[pivotRow]!;
        const inverse = 1 / source[pivotColumn]!;
        for (let column = 0; column <= this.columnTotal; column++) {
            source[column]! *= inverse;
        }
        source[pivotColumn] = inverse;
        for (let row = 0; row <= this.rowTotal; row++) {
            const factor = this.cells[row]![pivotColumn]!;
            if (row !== pivotRow && factor !== 0) {
                this.subtract(this.cells[row]!, source, factor);
                this.cells[row]![pivotColumn] = -factor * inverse;
            }
        }
        const entering = this.nonbasic[pivotColumn]!;
        this.nonbasic[pivotColumn] = this.basic[pivotRow]!;
        this.basic[pivotRow] = entering;
    }

    private subtract(target: Float64Array, source: Float64Array, factor: number): void {
        for (let column = 0; column <= this.columnTotal; column++) {
            target[column]! -= factor * source[column]!;
        }
    }

    solution(): LinearSolution {
        const variables = new Float64Array(this.columnTotal);
        const shadowPrices = new Float64Array(this.rowTotal);
        this.basic.forEach((variable, row) => {
            if (variable < this.columnTotal) {
                variables[variable] = this.cells[row]![this.columnTotal]!;
            }
        });
        this.nonbasic.forEach((variable, column) => {
            if (variable >= this.columnTotal) {
                shadowPrices[variable - this.columnTotal] = this.cells[this.rowTotal]![column]!;
            }
        });
        return { value: this.cells[this.rowTotal]![this.columnTotal]!, variables, shadowPrices };
    }
}
