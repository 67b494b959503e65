/** Positions in the store's history, and the era of a store, for tests. */
import { SilentLogger } from "../../src/common/logger.js";
import { SilentMetrics } from "../../src/common/metrics.js";
import type { StorePosition } from "../../src/domain/gateway/store-position.js";
import { StoreEra } from "../../src/process/gateway/store-era.js";

export const at = (revision: number, era = 0): StorePosition => ({ era, revision });

export const createStoreEra = (): StoreEra => new StoreEra(new SilentMetrics(), new SilentLogger());
