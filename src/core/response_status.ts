/** Which statuses a response may have. */

/** Lowest status of a final response; those below it announce a further one. */
export const FIRST_FINAL_STATUS = 200;
/** HTTP defines no class of statuses beyond this. */
const LAST_STATUS = 599;

/** Whether a status is that of a final response. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}
