/** Hashes that identify a booking in the ledger, so that no idempotency key, path or body of a caller is stored. */
import { createHash } from "node:crypto";
import type { BookingRequest } from "./types.js";

/** Hexadecimal digits kept of each SHA-256 hash. */
const hashDigits = 32;

/**
 * Returns the ledger key: a hash that includes the customer and the service, so that equal idempotency keys of
 * different customers or services don't collide.
 */
export function hashLedgerKey(request: BookingRequest, idempotencyKey: string): string {
    return hashParts([request.customer, request.service, idempotencyKey]).slice(0, hashDigits);
}

/** Hashes the method, path and body, which must match when an idempotency key is reused. */
export function hashRequestContent(request: BookingRequest): string {
    return hashParts([request.method, request.path, request.body]).slice(0, hashDigits);
}

/** Prefixes each part with its length in bytes, so that different divisions of the same bytes hash differently. */
function hashParts(parts: readonly (string | Uint8Array)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        const bytes = typeof part === "string" ? Buffer.from(part, "utf8") : part;
        hash.update(`${bytes.byteLength}:`).update(bytes);
    }
    return hash.digest("hex");
}
