/** Ranges of model layers. */

/** A range of consecutive layers, including both ends. */
export interface LayerRange {
    readonly first: number;
    readonly last: number;
}

/** Far more than any model has; the memory and the time that a range takes grow with its layers. */
export const maximumLayerCount = 10_000;

export function layerCount(range: LayerRange): number {
    return range.last - range.first + 1;
}

export function layerRangesEqual(left: LayerRange, right: LayerRange): boolean {
    return left.first === right.first && left.last === right.last;
}

export function containsRange(outer: LayerRange, inner: LayerRange): boolean {
    return outer.first <= inner.first && inner.last <= outer.last;
}

/** Whether a model with the given number of layers has all layers of the range; true for a server without layers. */
export function isWithinModel(range: LayerRange | undefined, modelLayers: number): boolean {
    return range === undefined || (range.first >= 0 && range.last < modelLayers);
}

export function formatLayerRange(range: LayerRange): string {
    return `${range.first}-${range.last}`;
}
