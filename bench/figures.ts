/** Types and statistics shared by all benchmarks: named figures, and bounds derived from the stated requirements. */

/** Whether a bound is an upper or a lower limit; both are inclusive. */
export const BoundKind = { atMost: "at-most", atLeast: "at-least" } as const;
export type BoundKind = typeof BoundKind[keyof typeof BoundKind];

export interface Bound {
    readonly kind: BoundKind;
    readonly value: number;
}

/** One measurement of a benchmark. */
export interface Figure {
    readonly bench: string;
    readonly figure: string;
    readonly value: number;
    readonly unit: string;
    /** Undefined for figures that are reported but not checked. */
    readonly bound?: Bound;
    /** The same figure of the baseline implementation, measured in the same run. */
    readonly baseline?: number;
}

/** A benchmark; `run` must finish within 50 s. */
export interface Benchmark {
    readonly name: string;
    run(): Promise<readonly Figure[]>;
}

export function atMost(value: number): Bound {
    return { kind: BoundKind.atMost, value };
}

export function atLeast(value: number): Bound {
    return { kind: BoundKind.atLeast, value };
}

/** Whether the figure meets its bound; NaN and infinite values never do, even without a bound. */
export function meetsBound(figure: Figure): boolean {
    if (!Number.isFinite(figure.value)) {
        return false;
    }
    if (figure.bound === undefined) {
        return true;
    }
    return figure.bound.kind === BoundKind.atMost
        ? figure.value <= figure.bound.value
        : figure.value >= figure.bound.value;
}

/** Formats a figure as the JSON line that a benchmark prints; `parseFigureLines` reads it. */
export function formatFigure(figure: Figure): string {
    return JSON.stringify({
        bench: figure.bench,
        figure: figure.figure,
        value: figure.value,
        unit: figure.unit,
        bound: figure.bound === undefined ? null : `${figure.bound.kind} ${figure.bound.value}`,
        baseline: figure.baseline ?? null,
        holds: meetsBound(figure),
    });
}

/** The given quantile (0 to 1) of the samples by the nearest-rank method; NaN if there are no samples. */
export function quantile(samples: readonly number[], fraction: number): number {
    const sorted = [...samples].sort((left, right) => left - right);
    const rank = Math.min(sorted.length - 1, Math.max(0, Math.ceil(sorted.length * fraction) - 1));
    return sorted[rank] ?? Number.NaN;
}

/** Fits a line through the points by least squares. */
export function fitLine(
    points: readonly { readonly x: number; readonly y: number; }[],
): { slope: number; intercept: number; } {
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
    const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    const slope = covariance / variance;
    return { slope, intercept: meanY - slope * meanX };
}
