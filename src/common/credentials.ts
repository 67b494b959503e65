/** Bearer credentials, known only by their SHA-256 and compared in constant time. */
import { createHash, timingSafeEqual } from "node:crypto";

const bearerPattern = /^Bearer (\S{1,512})$/i;

/** SHA-256 of a key, in hexadecimal, as the sheet and the settings hold it. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** The key in an Authorization header, or undefined. */
export function parseBearerKey(header: string | undefined): string | undefined {
    return header === undefined ? undefined : bearerPattern.exec(header)?.[1];
}

/** Whether the key has the given hash, compared in constant time. */
export function keyMatches(key: string, hash: string): boolean {
    const actual = Buffer.from(hashKey(key), "hex");
    const expected = Buffer.from(hash, "hex");
    return actual.length === expected.length && timingSafeEqual(actual, expected);
}
