/** The push service over the sheet's own checks, as operators' commands and the demo use it. */
import { randomUUID } from "node:crypto";
import type { KeyValueService } from "../domain/platform.js";
import type { FleetVersions } from "../domain/version-exchange.js";
import { PushService } from "../process/configuration/index.js";
import { diffSheets, parseSheet } from "../version/sheet/index.js";

/** Without fleet versions, nothing tells where a version is in force. */
export function createSheetPushService(keyValueService: KeyValueService, fleetVersions?: FleetVersions): PushService {
    return new PushService({
        keyValueService,
        check: sheet => void parseSheet(sheet),
        compare: diffSheets,
        fleetVersions,
        createPushId: randomUUID,
        wallClock: () => new Date(),
    });
}
