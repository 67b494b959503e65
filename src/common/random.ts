/** A source of random numbers that tests and benchmarks can seed. */
export interface RandomSource {
    /** A number in [0, 1). */
    next(): number;
}

/** The runtime's own generator. */
export class SystemRandom implements RandomSource {
    next(): number {
        return Math.random();
    }
}

/** A small seeded generator (mulberry32): the same seed gives the same sequence. */
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

/** A whole number in [0, bound). */
export function randomInteger(random: RandomSource, bound: number): number {
    return Math.floor(random.next() * bound);
}

/** A copy of the items in random order (Fisher-Yates). */
export function shuffle<Item>(random: RandomSource, items: readonly Item[]): Item[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index--) {
        const other = randomInteger(random, index + 1);
        const held = shuffled[index]!;
        shuffled[index] = shuffled[other]!;
        shuffled[other] = held;
    }
    return shuffled;
}
