/** What the platform's registry says of one backend server. */
import type { LayerRange } from "../layers.js";

export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

export interface ServerEntry {
    /** Names one start of a backend server, mostly; `bornAt` tells restarts under the same ID apart. */
    readonly id: string;
    readonly service: string;
    readonly address: SocketAddress;
    readonly availabilityZone: string;
    /** Unix time of the start, in milliseconds. */
    readonly bornAt: number | undefined;
    /** Requests that it runs at once. */
    readonly slots: number;
    /** It finishes what it has and takes nothing new. */
    readonly draining: boolean;
    /** Accelerator kind of a model engine. */
    readonly kind: string | undefined;
    /** Layers that it holds. */
    readonly layers: LayerRange | undefined;
}

/** What a model engine says of itself when asked; some hundred milliseconds old. */
export interface ServerReport {
    readonly bornAt: number | undefined;
    readonly layers: LayerRange | undefined;
    /** An order is being carried out. */
    readonly busy: boolean;
    /** Orders that it has begun since its start. */
    readonly ordersBegun: number;
    /** Requests that run or wait. */
    readonly requests: number;
}

export const OrderOutcome = {
    /** The order has begun. */
    begun: "begun",
    /** The layers are already held. */
    alreadyHeld: "already-held",
    /** The engine's state or its count of orders is not the expected one. */
    conflict: "conflict",
    /** The engine is another one than the order was meant for, or refuses the order. */
    refused: "refused",
} as const;
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

const socketAddressPattern = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;

/** Undefined for anything but `IP:PORT`. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
    const match = socketAddressPattern.exec(text);
    return match === null ? undefined : { host: match[1]!, port: Number(match[2]) };
}

export function formatSocketAddress(address: SocketAddress): string {
    return `${address.host}:${address.port}`;
}
