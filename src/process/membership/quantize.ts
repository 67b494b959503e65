/** Encodes demand as small integers on a logarithmic scale for gossip messages. */

/** Tokens per second below which the scale is nearly linear instead of logarithmic. */
const linearThreshold = 0.01;
/** Logarithm of the ratio between two neighbouring steps. */
const stepRatioLogarithm = Math.log(1.002);

/** Returns the nearest step. The sign is kept, since an estimate may become negative while it is averaged. */
export function quantize(value: number): number {
    const steps = Math.round(Math.log1p(Math.abs(value) / linearThreshold) / stepRatioLogarithm);
    return value < 0 ? -steps : steps;
}

export function dequantize(steps: number): number {
    const value = Math.expm1(Math.abs(steps) * stepRatioLogarithm) * linearThreshold;
    return steps < 0 ? -value : value;
}
