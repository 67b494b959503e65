/** Hashes that stand for a booking in the ledger, so that no key, path or body of a caller is stored. */
import { createHash } from "node:crypto";
import type { BookingRequest } from "./types.js";

const keyDigits = 32;

/** The ledger's key: customers can't meet each other's keys, nor can services. */
export function digestKey(request: BookingRequest, idempotencyKey: string): string {
    return digest([request.customer, request.service, idempotencyKey]).slice(0, keyDigits);
}

/** What must be the same when a key is used again. */
export function digestContent(request: BookingRequest): string {
    return digest([request.method, request.path, request.body]).slice(0, keyDigits);
}

/** The length before each part keeps neighbouring parts apart. */
function digest(parts: readonly (string | Uint8Array)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        const bytes = typeof part === "string" ? Buffer.from(part, "utf8") : part;
        hash.update(`${bytes.byteLength}:`).update(bytes);
    }
    return hash.digest("hex");
}
