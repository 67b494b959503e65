/** Network links between availability zones, as defined in the configuration sheet. */

/** One-way latency and bandwidth of a link. */
export interface LinkCost {
    readonly latencyMilliseconds: number;
    readonly bytesPerSecond: number;
}

export interface Location {
    readonly region: string;
    readonly availabilityZone: string;
}

/** Looks up the link from one location to another. */
export interface Topology {
    link(from: Location, to: Location): LinkCost;
}

/** Time in milliseconds to transfer the given number of bytes over a link. */
export function transferMilliseconds(link: LinkCost, bytes: number): number {
    return link.latencyMilliseconds + (bytes * 1000) / link.bytesPerSecond;
}
