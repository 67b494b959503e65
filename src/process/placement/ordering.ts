/** Orders names by code unit, which is the same everywhere and far quicker than by language rules. */
export function compareNames(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}
