/** Keys and values of crash evidence and blocks in the platform's store. */
import { randomUUID } from "node:crypto";
import * as z from "zod/mini";
import { type CrashCause, type CrashEvidence, maximumPromptParts } from "./types.js";

const maximumPartLength = 64;
const maximumNameLength = 200;
const partPattern = new RegExp(`^[0-9a-f]{1,${maximumPartLength}}$`);

const evidenceSchema = z.object({
    serverStart: z.string().check(z.maxLength(maximumNameLength)),
    witness: z.string().check(z.maxLength(maximumNameLength)),
    parts: z.array(z.object({ id: z.string().check(z.regex(partPattern)), successes: z.int().check(z.nonnegative()) }))
        .check(z.maxLength(maximumPromptParts)),
    /** Missing in evidence of earlier routers. */
    early: z.optional(z.boolean()),
});

/** A key that no other evidence has; it stays the same when the write is repeated. */
export function createEvidenceKey(prefix: string): string {
    return prefix + randomUUID();
}

export function encodeEvidence({ serverStart, witness, parts, early }: CrashEvidence): Buffer {
    return Buffer.from(JSON.stringify({ serverStart, witness, parts, early }));
}

/** Undefined if the value is not evidence in the expected form. */
export function decodeEvidence(value: Buffer, learntAt: number): CrashEvidence | undefined {
    const parsed = evidenceSchema.safeParse(parseJson(value));
    return parsed.success ? { ...parsed.data, early: parsed.data.early === true, learntAt } : undefined;
}

/** The value of a block's key only informs operators. */
export function encodeBlock({ crashes, successes }: CrashCause, witness: string): Buffer {
    return Buffer.from(JSON.stringify({ crashes, successes, decidedBy: witness, decidedAt: new Date().toISOString() }));
}

/** Of a block that the store has lost. */
export function encodeRestoredBlock(witness: string): Buffer {
    return Buffer.from(JSON.stringify({ restoredBy: witness, restoredAt: new Date().toISOString() }));
}

/** Undefined unless the key names a part of a prompt. */
export function decodeBlockedPart(key: string, prefix: string): string | undefined {
    const part = key.slice(prefix.length);
    return partPattern.test(part) ? part : undefined;
}

function parseJson(value: Buffer): unknown {
    try {
        return JSON.parse(value.toString("utf8"));
    }
    catch {
        // No router wrote the value; the caller logs its key.
        return undefined;
    }
}
