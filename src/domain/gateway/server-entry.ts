/** State of a backend server: its entry in the platform's registry and its own reports. */
import type { LayerRange } from "../layers.js";

export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/** One start of a backend server, which knows nothing of the starts before it. */
export interface ServerStart {
    /** Usually differs between the starts of a server. */
    readonly id: string;
    /** Unix time of the start in milliseconds, which distinguishes starts that reuse the ID. */
    readonly bornAt: number;
}

export interface ServerEntry extends ServerStart {
    readonly service: string;
    readonly address: SocketAddress;
    readonly availabilityZone: string;
    /** Number of requests that the server runs concurrently. */
    readonly slots: number;
    /** Whether the server only finishes its running requests and accepts no new ones. */
    readonly draining: boolean;
    /** Accelerator kind; only for model engines. */
    readonly kind: string | undefined;
    /** Layers that the server has loaded. */
    readonly layers: LayerRange | undefined;
    /** Heartbeats since the server's start, which order what the server has stated. */
    readonly heartbeats: number;
}

/** The state that a model engine reports on request; a few hundred milliseconds old. */
export interface ServerReport {
    /** Unix time of the start that the engine reports on, in milliseconds. */
    readonly bornAt: number;
    readonly layers: LayerRange | undefined;
    /** Whether the engine is carrying out an order. */
    readonly busy: boolean;
    /** Number of orders that the engine has begun since its start. */
    readonly ordersBegun: number;
    /** Number of running and waiting requests. */
    readonly requests: number;
    /** Factor by which the engine says that its work takes longer than usual; 1 is nominal, and never less. */
    readonly slowdown: number;
}

export const OrderOutcome = {
    /** The engine has begun the order. */
    begun: "begun",
    /** The engine already holds the layers. */
    alreadyHeld: "already-held",
    /** The engine's state or its number of begun orders differs from the expected one. */
    conflict: "conflict",
    /** The order reached a different engine than intended, or the engine rejected it. */
    refused: "refused",
} as const;
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** Whether two statements are of the same start of the same server. */
export function isSameStart(left: ServerStart, right: ServerStart): boolean {
    return left.id === right.id && left.bornAt === right.bornAt;
}

/** Identifies the start in maps and in records of the platform's store. */
export function formatServerStart({ id, bornAt }: ServerStart): string {
    return `${id}@${bornAt}`;
}

const socketAddressPattern = /^((?:0|[1-9]\d{0,2})(?:\.(?:0|[1-9]\d{0,2})){3}):(\d{1,5})$/;
const maximumOctet = 255;
const maximumPort = 65_535;

/** Returns undefined unless the text has the form `IP:PORT`, with an IPv4 address and a port other than 0. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
    const match = socketAddressPattern.exec(text);
    if (match === null) {
        return undefined;
    }
    const host = match[1]!;
    const port = Number(match[2]);
    const isValid = host.split(".").every(octet => Number(octet) <= maximumOctet) && port >= 1 && port <= maximumPort;
    return isValid ? { host, port } : undefined;
}

export function formatSocketAddress(address: SocketAddress): string {
    return `${address.host}:${address.port}`;
}
