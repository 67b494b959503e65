/** Parses JSON messages of other routers, and the numbers in them with their ranges. */
import * as z from "zod/mini";
import { InvalidPeerMessageError } from "../../errors/index.js";

/** Bound of loads, times and grants, far beyond what occurs; sums over all routers stay exact. */
const largestQuantity = 1e12;

export const wholeNumber = (maximum = Number.MAX_SAFE_INTEGER) => z.int().check(z.minimum(0), z.maximum(maximum));
export const quantity = (minimum = 0) => z.number().check(z.minimum(minimum), z.maximum(largestQuantity));

/** Throws InvalidPeerMessageError if the text is not JSON or does not match the schema; `kind` names the message. */
export function parsePeerMessage<Schema extends z.ZodMiniType>(
    kind: string,
    schema: Schema,
    text: string,
): z.infer<Schema> {
    const parsed = schema.safeParse(parseJson(kind, text));
    if (!parsed.success) {
        throw new InvalidPeerMessageError(kind, z.prettifyError(parsed.error));
    }
    return parsed.data;
}

function parseJson(kind: string, text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch (error) {
        throw new InvalidPeerMessageError(kind, error);
    }
}
