/** Demand as small integers on a logarithmic scale, for the wire. */

const smallest = 0.01;
const stepLogarithm = Math.log(1.002);

/** The nearest step; the sign is kept, since a value that is being averaged may pass below zero. */
export function quantize(value: number): number {
    const steps = Math.round(Math.log1p(Math.abs(value) / smallest) / stepLogarithm);
    return value < 0 ? -steps : steps;
}

export function dequantize(steps: number): number {
    const value = Math.expm1(Math.abs(steps) * stepLogarithm) * smallest;
    return steps < 0 ? -value : value;
}
