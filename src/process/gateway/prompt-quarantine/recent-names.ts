/** Values by name, in bounded memory: the names that were used least recently are dropped. Takes no memory in advance. */
import { LRUCache } from "lru-cache";
import { maximumPromptParts } from "./types.js";

export class RecentNames<Value extends NonNullable<unknown>> extends LRUCache<string, Value> {
    constructor() {
        super({ maxSize: maximumPromptParts, sizeCalculation: () => 1 });
    }
}
