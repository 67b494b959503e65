/** Compares names by UTF-16 code unit: independent of the locale, and much faster than `localeCompare`. */
export function compareNames(left: string, right: string): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}
