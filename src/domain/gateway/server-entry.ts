/** State of a backend server: its entry in the platform's registry and its own reports. */
import type { LayerRange } from "../layers.js";

export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

export interface ServerEntry {
    /** Usually identifies one start of a backend server; `bornAt` distinguishes restarts that reuse the ID. */
    readonly id: string;
    readonly service: string;
    readonly address: SocketAddress;
    readonly availabilityZone: string;
    /** Unix time of the server's start, in milliseconds. */
    readonly bornAt: number | undefined;
    /** Number of requests that the server runs concurrently. */
    readonly slots: number;
    /** Whether the server only finishes its running requests and accepts no new ones. */
    readonly draining: boolean;
    /** Accelerator kind; only for model engines. */
    readonly kind: string | undefined;
    /** Layers that the server has loaded. */
    readonly layers: LayerRange | undefined;
    /** Heartbeats since the server's start, which order what the server has stated; undefined if it does not count them. */
    readonly heartbeats?: number | undefined;
}

/** The state that a model engine reports on request; a few hundred milliseconds old. */
export interface ServerReport {
    readonly bornAt: number | undefined;
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
