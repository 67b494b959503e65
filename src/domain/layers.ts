/** Ranges of model layers. */

/** A range of consecutive layers, including both ends. */
export interface LayerRange {
    readonly first: number;
    readonly last: number;
}

export function layerCount(range: LayerRange): number {
    return range.last - range.first + 1;
}

export function layerRangesEqual(left: LayerRange, right: LayerRange): boolean {
    return left.first === right.first && left.last === right.last;
}

export function containsRange(outer: LayerRange, inner: LayerRange): boolean {
    return outer.first <= inner.first && inner.last <= outer.last;
}

export function formatLayerRange(range: LayerRange): string {
    return `${range.first}-${range.last}`;
}
