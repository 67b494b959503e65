/** A random number generator. Tests and benchmarks use a seeded implementation. */
export interface RandomSource {
    /** Returns a uniformly distributed number in [0, 1). */
    next(): number;
}

/** Uses Math.random, which cannot be seeded. */
export class SystemRandom implements RandomSource {
    next(): number {
        return Math.random();
    }
}

/** The mulberry32 generator: the same 32-bit seed gives the same sequence. */
export class SeededRandom implements RandomSource {
    private state: number;

    constructor(seed: number) {
        this.state = seed >>> 0;
    }

    next(): number {
        this.state = (this.state + 0x6d2b79f5) >>> 0;
        let mixed = this.state;
        mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    }
}

/** Returns a uniformly distributed integer in [0, bound). */
export function randomInteger(random: RandomSource, bound: number): number {
    return Math.floor(random.next() * bound);
}

/** Returns a copy of the items in random order (Fisher-Yates shuffle). */
export function shuffle<Item>(random: RandomSource, items: readonly Item[]): Item[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index--) {
        const other = randomInteger(random, index + 1);
        const swapped = shuffled[index]!;
        shuffled[index] = shuffled[other]!;
        shuffled[other] = swapped;
    }
    return shuffled;
}
