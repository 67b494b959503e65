/** Bearer credentials. They are stored only as SHA-256 hashes and compared in constant time. */
import { createHash, timingSafeEqual } from "node:crypto";

const bearerPattern = /^Bearer (\S{1,512})$/i;

/** SHA-256 hash of a key as lower-case hexadecimal digits, the form used in the sheet and the settings. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** Returns the key of a Bearer Authorization header, or undefined if the header is missing or malformed. */
export function parseBearerKey(header: string | undefined): string | undefined {
    return header === undefined ? undefined : bearerPattern.exec(header)?.[1];
}

/** Returns whether the key's hash equals the given hexadecimal hash. Compares in constant time. */
export function keyMatches(key: string, hash: string): boolean {
    const actual = Buffer.from(hashKey(key), "hex");
    const expected = Buffer.from(hash, "hex");
    return actual.length === expected.length && timingSafeEqual(actual, expected);
}
