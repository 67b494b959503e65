/** Bounds the bytes that values by customer take in a message between routers. */
import type { ByCustomer } from "../../domain/gateway/placement-notice.js";

export interface MessageBounds {
    readonly bytes: number;
    readonly customers: number;
}

/** Quotes, colons, brackets and commas around a service or customer. */
const punctuationBytes = 6;

/** The first values in the given order that fit into the bounds, as `format` turns them into JSON. */
export function keepWithinBytes<Value>(
    services: ByCustomer<Value>,
    compare: (left: Value, right: Value) => number,
    format: (value: Value) => unknown,
    bounds: MessageBounds,
): ByCustomer<Value> {
    const values = [...services].flatMap(([service, customers]) =>
        [...customers].map(([customer, value]) => ({ service, customer, value }))
    );
    const kept = new Map<string, Map<string, Value>>();
    let bytesLeft = bounds.bytes;
    let customersLeft = bounds.customers;
    for (const { service, customer, value } of values.sort((left, right) => compare(left.value, right.value))) {
        const customers = kept.get(service);
        const bytes = byteLength(customer) + byteLength(format(value))
            + (customers === undefined ? byteLength(service) : 0);
        if (bytes > bytesLeft || customersLeft === 0) {
            continue;
        }
        bytesLeft -= bytes;
        customersLeft--;
        kept.set(service, (customers ?? new Map<string, Value>()).set(customer, value));
    }
    return kept;
}

function byteLength(value: unknown): number {
    return Buffer.byteLength(JSON.stringify(value)) + punctuationBytes;
}
